"""Hold an operator's draft; it travels in the form, signed, and stands nowhere else."""

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
    """Hold a document under work and the version that it began from."""

    base_version: int
    data: dict
    change: str = field(default_factory=lambda: uuid.uuid4().hex)
    note: str = ""
    allowed: list = field(default_factory=list)

    def dump(self, serializer):
        return serializer.dumps(
            [self.base_version, self.data, self.change, self.note, self.allowed]
        )

    def decode(self):
        """Build the document: Ok(Document) or Err(findings)."""
        return documents.decode(json.dumps(self.data))

    def read_section(self, form, section):
        """Take the inputs of one section from a form."""
        for name, _, cls in forms.sections():
            if name == section:
                self.data[name] = forms.read_rows(cls, form, self.data[name], name)

    def findings(self, base, served):
        """List every finding of the document and of the change to it."""
        decoded = self.decode()
        if decoded.is_err():
            return decoded.err_value
        document = decoded.ok_value
        return documents.check_document(document) + check_change(
            base, document, self.allowed, served
        )


def begin(version, document):
    """Begin a draft from an accepted document."""
    return Draft(version, schema.dump(document))


def load(serializer, text):
    """Read a draft back from a form; raise BadRequest when it was tampered with."""
    try:
        return Draft(*serializer.loads(text))
    except BadData as error:
        raise BadRequest("The draft was changed on its way.") from error


def has_errors(findings):
    return checks.has_errors(findings)
