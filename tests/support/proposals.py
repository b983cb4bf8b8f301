"""Build changes as the operators' API accepts them."""

import copy
import uuid


def build_change(shown, index=0, change=None):
    """Build a change that raises one organisation's weight by 1."""
    document = copy.deepcopy(shown["document"])
    organisation = document["organisations"][index]
    organisation["weight"] = organisation.get("weight", 1.0) + 1
    return {
        "base_version": shown["version"],
        "document": document,
        "change": change or uuid.uuid4().hex,
    }
