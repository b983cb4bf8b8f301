"""Check that peers prove themselves, and that strangers get nothing."""

import asyncio

import pytest
from hypothesis import given, strategies as st
from support.peers import build_agent_side, build_entry_side, build_key, connected

from fescuedrum.exceptions import IncompatiblePeerError, PeerRefusedError, ProtocolError
from fescuedrum.wire import peers
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.handshake import AGENT, ENTRY, Keyring, negotiate

OLD, NEW = build_key("old"), build_key("new")


def shake(entry, agent):
    """Carry frames between the two sides to the end."""
    waiting = entry.open()
    while waiting:
        for target in (agent, entry):
            waiting = [
                out for body in waiting for out in target.receive(*body.values())
            ]
    return entry, agent


@pytest.mark.parametrize(
    ("entry_keys", "agent_keys"),
    [
        ([OLD], [OLD, NEW]),
        ([OLD], [NEW, OLD]),
        ([NEW, OLD], [OLD, NEW]),
        ([NEW], [NEW, OLD]),
        ([], []),
    ],
)
def test_rotation_keeps_two_keys_valid_at_once(entry_keys, agent_keys):
    """Operators change the fleet's key instance by instance while it serves.

    First every process learns the new key, then each proves with it, then the old
    one goes; at each step processes of two steps meet.
    """
    entry, agent = shake(
        build_entry_side(Keyring(entry_keys)), build_agent_side(Keyring(agent_keys))
    )
    assert (entry.peer.instance, agent.peer.instance) == ("agent-1", "entry-1")
    assert entry.done
    assert agent.done


def test_a_stranger_learns_nothing_of_the_agent():
    agent = build_agent_side(Keyring([NEW]))
    entry = build_entry_side(Keyring([OLD]))
    (challenge,) = agent.receive(entry.hello)
    assert "agent-1" not in repr(challenge)
    (proof,) = entry.receive(challenge["challenge"])
    with pytest.raises(PeerRefusedError):
        agent.receive(proof["proof"])
    assert not agent.done


def test_an_agent_without_the_key_is_refused():
    entry = build_entry_side(Keyring([NEW]))
    agent = build_agent_side(Keyring([]))
    with pytest.raises(PeerRefusedError):
        shake(entry, agent)


def test_a_recorded_proof_fits_no_other_connection():
    """Somebody records an entry's first frames and sends them again later.

    The agent's nonce is another then, so the recorded proof is wrong.
    """
    keyring = Keyring([NEW])
    entry, agent = build_entry_side(keyring), build_agent_side(keyring)
    (proof,) = entry.receive(agent.receive(entry.hello)[0]["challenge"])
    later = build_agent_side(keyring, nonce=b"b" * 32)
    later.receive(entry.hello)
    with pytest.raises(PeerRefusedError):
        later.receive(proof["proof"])


def test_an_agent_cannot_return_the_entrys_proof_as_its_own():
    transcript = [b"one", b"two"]
    keyring = Keyring([NEW])
    assert not keyring.accepts(keyring.prove(ENTRY, transcript), AGENT, transcript)
    assert not keyring.accepts(keyring.prove(ENTRY, [b"onetwo"]), ENTRY, transcript)


def test_an_address_that_now_belongs_to_another_instance_is_refused():
    keyring = Keyring([NEW])
    entry = build_entry_side(keyring, addressee="agent-2")
    with pytest.raises(PeerRefusedError):
        shake(entry, build_agent_side(keyring))


def test_peers_without_a_common_protocol_say_so():
    entry = build_entry_side(Keyring([NEW]))
    with pytest.raises(IncompatiblePeerError, match="protocols 7 to 9"):
        entry.receive(frames.Challenge(9, 7, b"a" * 32))


@pytest.mark.parametrize(
    ("newest", "oldest", "spoken"), [(None, None, 1), (1, 1, 1), (4, 1, 1)]
)
def test_old_and_new_processes_speak_the_newest_protocol_of_both(
    newest, oldest, spoken
):
    assert negotiate(frames.Challenge(newest, oldest)) == spoken


async def test_strangers_cannot_use_up_a_processes_files(monkeypatch):
    """Somebody opens thousands of connections to an agent and sends nothing."""
    monkeypatch.setattr(peers, "MAXIMUM_ACCEPTED", 2)
    listener = peers.Peers([NEW], None, frames.Hello)

    async def serve(reader, _):
        await reader.read()

    server = await listener.listen(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
    assert await opened[2][0].read() == b""
    assert listener.accepted == 2
    for _, writer in opened[:2]:
        writer.close()
    async with asyncio.timeout(10):
        while listener.accepted:
            await asyncio.sleep(0.01)
    server.close()


@given(
    st.lists(
        st.builds(
            frames.Hello,
            role=st.sampled_from(["entry", "agent", None]),
            nonce=st.sampled_from([None, b"", b"n" * 32]),
            protocol=st.none() | st.integers(0, 3),
        )
        | st.builds(frames.Proof, mac=st.none() | st.binary(), key_id=st.just("new"))
        | st.none()
    )
)
def test_no_frames_without_the_key_finish_a_handshake(bodies):
    for side in (build_agent_side(Keyring([NEW])), build_entry_side(Keyring([NEW]))):
        try:
            for body in bodies:
                side.receive(body)
        except ProtocolError:
            pass
        assert not side.done


async def test_a_stranger_over_tcp_gets_a_challenge_and_a_close():
    async with connected() as (near, far):
        agent = asyncio.create_task(far.handshake(build_agent_side(Keyring([NEW]))))
        with pytest.raises(PeerRefusedError):
            await asyncio.gather(
                near.handshake(build_entry_side(Keyring([OLD]))),
                close_after(agent, far),
            )


async def close_after(task, connection):
    await asyncio.wait([task])
    assert isinstance(task.exception(), PeerRefusedError)
    connection.close()


async def test_a_stranger_cannot_make_an_agent_keep_a_large_frame():
    async with connected() as (near, far):
        near.send(hello=frames.Hello(role="entry", nonce=b"n" * 100_000))
        with pytest.raises(ProtocolError, match="over the limit"):
            await far.handshake(build_agent_side(Keyring([NEW])))
