"""Drafts of the document, kept only in the console's forms, signed."""

import json
import uuid
from dataclasses import dataclass, field

from itsdangerous import BadData

from fescuedrum import checks
from fescuedrum.conf import document as documents, schema
from fescuedrum.conf.safety import check_change
from fescuedrum.exceptions import BadRequest
from fescuedrum_entry.operators.console import forms


@dataclass(slots=True)
class Draft:
    """Hold an edited document and the version that it is based on."""

    base_version: int
    data: dict
    change: str = field(default_factory=lambda: uuid.uuid4().hex)
    note: str = ""
    allowed: list = field(default_factory=list)

    def dump(self, serializer):
        """Return the draft as signed text for a form."""
        return serializer.dumps(
            [self.base_version, self.data, self.change, self.note, self.allowed]
        )

    def decode(self):
        """Return the decoded document: Ok(Document) or Err(findings)."""
        return documents.decode(json.dumps(self.data))

    def read_section(self, form, section):
        """Update one section of the document from a form's inputs."""
        for name, _, cls in forms.sections():
            if name == section:
                self.data[name] = forms.read_rows(cls, form, self.data[name], name)

    def findings(self, base, served_zones):
        """Return the findings of the document and of the change from a base."""
        decoded = self.decode()
        if decoded.is_err():
            return decoded.err_value
        document = decoded.ok_value
        return documents.check_document(document) + check_change(
            base, document, self.allowed, served_zones
        )


def begin(version, document):
    """Return a new draft based on an accepted document."""
    return Draft(version, schema.dump(document))


def load(serializer, text):
    """Return the draft in signed text; raise BadRequest if it was altered."""
    try:
        return Draft(*serializer.loads(text))
    except BadData as error:
        raise BadRequest("The draft's signature is not valid.") from error


def has_errors(findings):
    """Return whether any finding is an error."""
    return checks.has_errors(findings)
