"""Show the configuration, a request or an idempotency key at an entry."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from fescuedrum.process import EXIT_OK
from fescuedrum_entry.operators.client import add_entry_arguments, run_command
from fescuedrum_entry.operators.requests import describe

EPILOG = """\
examples:
  fescuedrum show config --entry http://10.0.0.5:7000 --token-file token
  fescuedrum show request 3f0c... --entry http://10.0.0.5:7000 --token-file token
  fescuedrum show key club bookings order-17 --entry http://10.0.0.5:7000 \\
      --token-file token

A request's id is in the header Fescuedrum-Request-Id, in the body of an error and in
the logs. Only the entry that served the request holds its trace; the log lines with
the id name that instance. Without an id, the requests that went wrong are listed.
"""


def show_config(client, arguments):
    """Print the newest accepted document as JSON."""
    answer = client.get("configuration")
    shown = answer if arguments.json else answer["document"]
    print(json.dumps(shown, indent=2))
    return EXIT_OK


def show_request(client, arguments):
    """Print the trace of one request, or a list of those that went wrong."""
    if not arguments.name:
        return list_requests(client, arguments)
    answer = client.get(f"requests/{arguments.name}")
    if arguments.json:
        print(json.dumps(answer))
    else:
        print("\n".join(describe(answer)))
    return EXIT_OK


def list_requests(client, arguments):
    """Print the requests that went wrong, one a line."""
    answer = client.get("requests")
    if arguments.json:
        print(json.dumps(answer))
        return EXIT_OK
    for each in answer["requests"]:
        print(
            f"{each['request_id']}  {each['organisation']:20} {each['service']:16}"
            f" {each['outcome']:9} {each['code']:18} {each['seconds']:8.3f} s"
        )
    return EXIT_OK


def show_key(client, arguments):
    """Print the state of the request with an idempotency key."""
    answer = client.get(
        "keys",
        organisation=arguments.organisation,
        service=arguments.service,
        key=arguments.key,
    )
    if arguments.json:
        print(json.dumps(answer))
        return EXIT_OK
    print(f"{answer['state']}: {answer['meaning']}")
    print(f"  attempt {answer['attempt']} at {answer['agent']}")
    if "status" in answer:
        print(f"  answer {answer['status']}, {answer['bytes']} bytes")
    return EXIT_OK


@dataclass(slots=True, frozen=True)
class Argument:
    """Describe a positional argument after the kind on the command line."""

    name: str
    help: str
    optional: bool = False


@dataclass(slots=True, frozen=True)
class Kind:
    """Describe a kind of object to show; other packages can add to KINDS."""

    help: str
    handle: Callable
    arguments: tuple[Argument, ...] = ()


KINDS = {
    "config": Kind("the newest accepted document", show_config),
    "request": Kind(
        "where a request waited, and why it was routed as it was",
        show_request,
        (
            Argument(
                "name",
                "the request's id; without it, requests that went wrong are listed",
                optional=True,
            ),
        ),
    ),
    "key": Kind(
        "the state of the request with an idempotency key",
        show_key,
        (
            Argument("organisation", "organisation that sent it"),
            Argument("service", "service that it was sent to"),
            Argument("key", "the Idempotency-Key"),
        ),
    ),
}


class Command:
    help = "show what an entry holds"
    epilog = EPILOG

    def add_arguments(self, parser):
        kinds = parser.add_subparsers(dest="kind", required=True)
        for name, kind in sorted(KINDS.items()):
            subparser = kinds.add_parser(name, help=kind.help)
            for each in kind.arguments:
                nargs = "?" if each.optional else None
                subparser.add_argument(each.name, nargs=nargs, help=each.help)
            add_entry_arguments(subparser)

    def handle(self, arguments):
        handle = KINDS[arguments.kind].handle
        return run_command(arguments, lambda client: handle(client, arguments))
