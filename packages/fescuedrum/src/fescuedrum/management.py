"""Find and run a program's commands, each a module of a package."""

import argparse
import importlib
import pkgutil
import sys

from fescuedrum import __version__
from fescuedrum.signals import defer_reload, restore_reload_default

EPILOG = """\
exit codes:
  0  done
  1  the command failed; the message names the remedy
  2  wrong usage
  3  invalid settings or document, or a gap in the audit trail; all errors listed
  4  another operator's change came first; both are shown
  5  not known whether the change was accepted; apply it again with the same id
"""


def load_commands(package, argv=()):
    """Return the Command object of each module of a package, by command name.

    If the first argument names a command, only that one is loaded: the modules of the
    others may take longer to import than a process takes to start.
    """
    names = [module.name for module in pkgutil.iter_modules(package.__path__)]
    if argv and argv[0] in names:
        names = [argv[0]]
    return {
        name: importlib.import_module(f"{package.__name__}.{name}").Command()
        for name in names
    }


def build_parser(commands, prog, description):
    """Return the argument parser with a subparser for each command."""
    parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, command in commands.items():
        subparser = subparsers.add_parser(
            name,
            help=command.help,
            description=command.help[0].upper() + command.help[1:] + ".",
            epilog=getattr(command, "epilog", None),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
    return parser


def execute(package, *, prog, description, argv=None):
    """Run the command that the arguments name and return its exit code.

    SIGHUP is deferred only for a command that reloads its settings.
    """
    defer_reload()
    argv = sys.argv[1:] if argv is None else argv
    commands = load_commands(package, argv)
    arguments = build_parser(commands, prog, description).parse_args(argv)
    command = commands[arguments.command]
    if not getattr(command, "reloads", False):
        restore_reload_default()
    return command.handle(arguments)
