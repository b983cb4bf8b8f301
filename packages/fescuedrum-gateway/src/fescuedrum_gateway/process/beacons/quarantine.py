"""Encode and decode what gateways tell each other of ended endpoints and suspects."""

import itertools
import math
from collections.abc import Iterable, Mapping

from fescuedrum.decisions.admitting.quarantine import Quarantine
from fescuedrum.decisions.admitting.suspects import (
    ENDS_KEPT,
    NEVER,
    EndpointEnd,
    SuspectReport,
)
from fescuedrum.wire.gen.gateways import ttypes as wire

# Entries that still leave room for the loads in one packet.
MAXIMUM_ENDED = 8
MAXIMUM_SOUND = 8
# Of all suspects; the name of one takes as much room as two ends.
MAXIMUM_SUSPECT_ENDS = 40
ENDS_FOR_NAME = 2
# Higher ages are invalid.
LONGEST_AGE_SECONDS = 7 * 24 * 3600.0
HIGHEST_TRIALS = 100


def encode_ended(ended: Mapping[str, float], now: float) -> list[wire.EndpointEnd]:
    """Return the newest ends of endpoints in the form of a beacon."""
    newest = sorted(ended.items(), key=lambda item: -item[1])[:MAXIMUM_ENDED]
    return [wire.EndpointEnd(endpoint=name, age=now - at) for name, at in newest]


def decode_ended(ended: Iterable[wire.EndpointEnd], now: float) -> list[EndpointEnd]:
    """Return the ends of endpoints in a beacon, without impossible ones."""
    return [
        EndpointEnd(each.endpoint, now - each.age, bool(each.is_begun))
        for each in ended
        if each.endpoint and is_age(each.age)
    ]


def encode_suspects(quarantine: Quarantine, now: float) -> list[wire.SuspectPart]:
    """Return the suspects that others should know of in the form of a beacon."""
    suspects, room = [], MAXIMUM_SUSPECT_ENDS
    for report in quarantine.reports(now):
        suspects.append(encode_suspect(report, now))
        room -= len(report.ends) + ENDS_FOR_NAME
        if room <= 0:
            break
    return suspects


def encode_suspect(report: SuspectReport, now: float) -> wire.SuspectPart:
    """Return what is known of one suspect in the form of a beacon."""
    return wire.SuspectPart(
        part=report.trait,
        ends=[
            wire.EndpointEnd(
                endpoint=end.endpoint, age=now - end.at, is_begun=end.is_begun or None
            )
            for end in report.ends
        ],
        was_answered=report.was_answered or None,
        trials=report.trials or None,
        trial_age=now - report.tried_at if report.trials else None,
    )


def decode_suspects(
    suspects: Iterable[wire.SuspectPart], now: float
) -> list[SuspectReport]:
    """Return the suspects in a beacon, without impossible ones."""
    return [
        SuspectReport(
            each.part,
            tuple(decode_ended((each.ends or ())[:ENDS_KEPT], now)),
            bool(each.was_answered),
            each.trials or 0,
            now - each.trial_age if each.trials else NEVER,
        )
        for each in suspects
        if each.part and is_trial(each)
    ]


def is_trial(suspect: wire.SuspectPart) -> bool:
    """Return whether what a suspect says of trials is possible."""
    trials = suspect.trials or 0
    return trials == 0 or (0 < trials <= HIGHEST_TRIALS and is_age(suspect.trial_age))


def encode_sound(quarantine: Quarantine, now: float) -> list[wire.SoundPart]:
    """Return the suspects that were cleared lately in the form of a beacon."""
    reports = itertools.islice(quarantine.sound_reports(now), MAXIMUM_SOUND)
    return [wire.SoundPart(part=trait, age=now - at) for trait, at in reports]


def decode_sound(
    sound: Iterable[wire.SoundPart], now: float
) -> list[tuple[str, float]]:
    """Return (trait, time of the answer) in a beacon, without impossible ones."""
    return [
        (each.part, now - each.age) for each in sound if each.part and is_age(each.age)
    ]


def is_age(age: float | None) -> bool:
    """Return whether a number is the age of something that others still report."""
    return age is not None and math.isfinite(age) and 0 <= age <= LONGEST_AGE_SECONDS
