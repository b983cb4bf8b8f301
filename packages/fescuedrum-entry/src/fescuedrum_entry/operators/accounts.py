"""Declare operators, their roles and their tokens."""

import enum
from dataclasses import dataclass

from fescuedrum.conf.document import KeyHash
from fescuedrum.conf.schema import setting
from fescuedrum.exceptions import NotAllowed, NotSignedIn


class Role(enum.StrEnum):
    """Name what an operator may do; each role includes those before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other):
        """Tell whether this role may do what the other may."""
        return ROLE_ORDER.index(self) >= ROLE_ORDER.index(other)


ROLE_ORDER = (Role.VIEWER, Role.OPERATOR, Role.ADMIN)


@dataclass(slots=True)
class Account:
    """Describe an operator who may sign in at this entry."""

    name: str = setting(help="Name of the operator; tokens begin with it and a dot.")
    role: Role = setting(Role.VIEWER, help="viewer, operator or admin.")
    tokens: list[KeyHash] = setting(list, help="Salted hashes of the tokens.")


def find_account(accounts, token):
    """Return the account whose token this is; raise NotSignedIn."""
    name = token.partition(".")[0]
    for account in accounts:
        if account.name == name and any(each.matches(token) for each in account.tokens):
            return account
    raise NotSignedIn("The token is not valid.")


def check_role(account, role):
    """Raise NotAllowed when the account's role does not include this one."""
    if not account.role.includes(role):
        raise NotAllowed(f"{account.name} is {account.role}, not {role}.")
