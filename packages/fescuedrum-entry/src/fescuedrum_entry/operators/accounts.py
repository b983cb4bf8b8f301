"""Declare the accounts of operators, with their roles and tokens."""

import enum
from dataclasses import dataclass

from fescuedrum.conf.document import KeyHash
from fescuedrum.conf.schema import setting
from fescuedrum.exceptions import NotAllowed, NotSignedIn


class Role(enum.StrEnum):
    """Define what an operator may do; each role includes the roles before it."""

    VIEWER = "viewer"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other):
        """Return whether this role has all permissions of another."""
        return ROLE_ORDER.index(self) >= ROLE_ORDER.index(other)


ROLE_ORDER = (Role.VIEWER, Role.OPERATOR, Role.ADMIN)


@dataclass(slots=True)
class Account:
    """Describe an operator who may sign in at this entry."""

    name: str = setting(help="Name of the operator; tokens begin with it and a dot.")
    role: Role = setting(Role.VIEWER, help="viewer, operator or admin.")
    tokens: list[KeyHash] = setting(list, help="Salted hashes of the tokens.")


def find_account(accounts, token):
    """Return the account that a token belongs to; raise NotSignedIn if none."""
    name = token.partition(".")[0]
    for account in accounts:
        if account.name == name and any(each.matches(token) for each in account.tokens):
            return account
    raise NotSignedIn("The token is not valid.")


def check_role(account, role):
    """Raise NotAllowed if the account's role does not include a role."""
    if not account.role.includes(role):
        raise NotAllowed(f"{account.name} is {account.role}, not {role}.")
