"""Check who may sign in and what each role may do."""

import pytest

from fescuedrum.conf.document import KeyHash, hash_key
from fescuedrum.exceptions import NotAllowed, NotSignedIn, TooManySignIns
from fescuedrum_entry.operators.access import FAILURES_BEFORE_LIMIT, SignInLimit
from fescuedrum_entry.operators.accounts import (
    Account,
    Role,
    check_role,
    find_account,
)


def build_account(name="ada", role=Role.OPERATOR):
    salted = KeyHash("salt", hash_key("salt", f"{name}.secret"))
    return Account(name, role, [salted])


def test_a_token_finds_its_own_account_only():
    """Guard against sign-in with a missing, incomplete, wrong or unknown token."""
    accounts = [build_account("ada"), build_account("bo")]
    assert find_account(accounts, "bo.secret").name == "bo"
    for token in ("", "bo", "bo.wrong", "eve.secret"):
        with pytest.raises(NotSignedIn):
            find_account(accounts, token)


def test_a_role_includes_those_below_it():
    """Guard against an operator who gets the permissions of an administrator."""
    account = build_account(role=Role.OPERATOR)
    check_role(account, Role.VIEWER)
    check_role(account, Role.OPERATOR)
    with pytest.raises(NotAllowed):
        check_role(account, Role.ADMIN)


def test_an_address_that_guesses_tokens_is_refused_and_others_are_not():
    """Guard against guessing tokens, and against refusing other addresses for it."""
    limit = SignInLimit()
    for _ in range(FAILURES_BEFORE_LIMIT):
        limit.check("10.0.0.1", 5.0)
        limit.record_failure("10.0.0.1", 5.0)
    with pytest.raises(TooManySignIns):
        limit.check("10.0.0.1", 6.0)
    limit.check("10.0.0.2", 6.0)
    limit.check("10.0.0.1", 66.0)
