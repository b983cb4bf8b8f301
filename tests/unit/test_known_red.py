"""Check how tests that are known to be red are run and told of."""

import pathlib

pytest_plugins = ["pytester"]

CONFTEST = pathlib.Path(__file__).parents[1] / "conftest.py"
TESTS = """
def test_broken():
    assert False

def test_whole():
    pass

def test_other():
    assert {other}
"""


def run(pytester, other):
    """Run three tests of which two are listed."""
    pytester.path.joinpath("KNOWN-RED.txt").write_text(
        "# Tests that fail\n"
        "tests/test_it.py::test_broken | fails each time | issue 1\n"
        "tests/test_it.py::test_whole | failed once | issue 2\n"
    )
    pytester.makeini("[pytest]\nasyncio_default_fixture_loop_scope = function")
    tests = pytester.mkdir("tests")
    tests.joinpath("conftest.py").write_text(CONFTEST.read_text())
    tests.joinpath("test_it.py").write_text(TESTS.format(other=other))
    return pytester.runpytest_inprocess("-p", "no:xdist", "-p", "no:cacheprovider")


def test_a_listed_test_is_run_and_fails_nothing(pytester):
    """A new clone's `make test` ends red for a fault that is known and listed."""
    result = run(pytester, other=True)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "failed: *test_broken | fails each time*",
            "PASSED: *test_whole | failed once*",
        ]
    )


def test_a_test_that_is_not_listed_fails_the_run(pytester):
    result = run(pytester, other=False)
    assert result.ret == 1
    result.assert_outcomes(failed=1, xfailed=1, xpassed=1)
