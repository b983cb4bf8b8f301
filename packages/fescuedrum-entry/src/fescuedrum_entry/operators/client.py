"""Call the operators' API of an entry from the commands."""

import asyncio
import json
import pathlib
import sys

import aiohttp

from fescuedrum.answers.connection import AnswerConnector, read_body
from fescuedrum.process import (
    EXIT_FAILURE,
    EXIT_FINDINGS,
    EXIT_RACED,
    EXIT_UNSETTLED,
    EXIT_USAGE,
)

TIMEOUT_SECONDS = 30.0
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
ERROR_FIELDS = {"code", "message"}
EXIT_BY_CODE = {
    "change-invalid": EXIT_FINDINGS,
    "change-raced": EXIT_RACED,
    "change-unsettled": EXIT_UNSETTLED,
}


def add_entry_arguments(parser, *, required=True):
    """Add the arguments that name an entry and the operator's token."""
    parser.add_argument("--entry", required=required, help="URL of any entry")
    parser.add_argument("--token-file", help="file that holds your token")
    parser.add_argument("--json", action="store_true", help="write the answer as JSON")


class ApiError(Exception):
    """Hold the error body of an entry, or one for a missing answer."""

    def __init__(self, error):
        super().__init__(error["message"])
        self.error = error


class OperatorClient:
    """Send requests to the operators' API of one entry."""

    __slots__ = ("headers", "url")

    def __init__(self, arguments):
        self.url = arguments.entry.rstrip("/") + "/operators/"
        token = ""
        if arguments.token_file:
            token = pathlib.Path(arguments.token_file).read_text().strip()
        self.headers = {"Authorization": f"Bearer {token}"}

    def get(self, path, **params):
        """Send a GET request and return the decoded answer; raise ApiError."""
        return asyncio.run(self.call("GET", path, params=params))

    def post(self, path, data):
        """Send a POST request with a JSON body; return the answer or raise ApiError."""
        return asyncio.run(self.call("POST", path, json=data))

    async def call(self, method, path, **options):
        """Send one request and return the decoded answer; raise ApiError."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(
                    connector=AnswerConnector(), timeout=timeout, headers=self.headers
                ) as session,
                session.request(method, self.url + path, **options) as response,
            ):
                data = load_answer(await read_body(response, MAXIMUM_ANSWER_BYTES))
        except (aiohttp.ClientError, OSError, ValueError, RecursionError) as error:
            message = f"{self.url} gave no answer: {error!r}. Try another entry."
            raise ApiError({"code": "no-answer", "message": message}) from error
        if "error" in data:
            raise ApiError(data["error"])
        return data


def load_answer(body):
    """Return the JSON in an answer; raise ValueError if it is none of the API's."""
    data = json.loads(body)
    if not isinstance(data, dict | list):
        raise ValueError("the answer is no JSON object")
    error = data["error"] if "error" in data else dict.fromkeys(ERROR_FIELDS)
    if not isinstance(error, dict) or not ERROR_FIELDS.issubset(error):
        raise ValueError("the answer's error has no code or no message")
    return data


def run_command(arguments, handle):
    """Call handle(client); turn errors into messages and exit codes."""
    try:
        return handle(OperatorClient(arguments))
    except ApiError as error:
        report_error(error.error, as_json=arguments.json)
        return EXIT_BY_CODE.get(error.error["code"], EXIT_FAILURE)
    except (OSError, ValueError) as error:
        print(f"{error}. Name a readable file.", file=sys.stderr)
        return EXIT_USAGE


def report_error(error, *, as_json):
    """Print an error body with its findings and the changes in conflict."""
    if as_json:
        print(json.dumps(error))
    print(error["message"], file=sys.stderr)
    for finding in error.get("findings", ()):
        print_finding(finding)
    for side in ("mine", "theirs"):
        for words in error.get(side, ()):
            print(f"  {side}: {words}", file=sys.stderr)


def print_finding(finding):
    """Print one finding to standard error."""
    print(
        f"{finding['path']}: ({finding['id']}) {finding['message']}"
        f" Hint: {finding['hint']}",
        file=sys.stderr,
    )


def read_document(path):
    """Return the decoded JSON of a file."""
    return json.loads(pathlib.Path(path).read_text())
