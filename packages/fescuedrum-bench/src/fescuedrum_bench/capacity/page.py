"""Render the capacity page from the slopes of a run."""

import dataclasses
import json
import platform

import jinja2

from fescuedrum_bench.capacity import roles
from fescuedrum_bench.capacity.size import Budget, Size
from fescuedrum_bench.capacity.slopes import Slope

TEMPLATE = "capacity.md.j2"


def dump(slopes, heartbeat_bytes):
    """Return a run as JSON, from which the page can be rendered again."""
    run = {
        "python": platform.python_version(),
        "heartbeat_bytes": heartbeat_bytes,
        "slopes": [dataclasses.asdict(slope) for slope in slopes],
    }
    return json.dumps(run, indent=1)


def render(run):
    """Return the Markdown of the page for a decoded run."""
    size, budget = Size(), Budget()
    slopes = {line["name"]: Slope(**line) for line in run["slopes"]}
    costs = [
        *roles.entry_costs(slopes, size),
        *roles.agent_costs(slopes, size),
        *roles.link_costs(slopes, size, budget, run["heartbeat_bytes"]),
        *roles.document_costs(slopes, size, budget),
        *roles.process_costs(slopes, budget),
        *roles.planning_costs(slopes, size),
    ]
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("fescuedrum_bench.capacity"),
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    environment.filters["quantity"] = quantity
    return environment.get_template(TEMPLATE).render(
        size=size, budget=budget, slopes=slopes, costs=costs, run=run
    )


def quantity(amount, unit):
    """Return an amount with three significant digits and a unit prefix."""
    if unit == "core":
        return f"{amount * 100:.3g} % of a core"
    for limit, prefix in ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1, ""), (1e-3, "m")):
        if abs(amount) >= limit:
            return f"{amount / limit:.3g} {prefix}{unit}"
    return f"{amount * 1e6:.3g} u{unit}"
