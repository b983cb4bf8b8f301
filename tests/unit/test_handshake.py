"""Check that peers authenticate and that others learn nothing."""

import asyncio

import pytest
from hypothesis import given, strategies as st
from support.peers import build_agent_side, build_entry_side, build_key, connected

from fescuedrum.exceptions import IncompatiblePeerError, PeerRefusedError, ProtocolError
from fescuedrum.wire import peers
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.handshake import AGENT, ENTRY, Keyring, negotiate

OLD, NEW = build_key("old"), build_key("new")


def run_handshake(entry, agent):
    """Pass frames between the two sides until none is left."""
    pending = entry.open()
    while pending:
        for receiver in (agent, entry):
            pending = [
                out for body in pending for out in receiver.receive(*body.values())
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
    """Guard against refused connections while operators replace the shared key.

    First each process gets the new key as a second one, then as its first, then the old
    key is removed; during a step, processes before and after it connect to each other.
    """
    entry, agent = run_handshake(
        build_entry_side(Keyring(entry_keys)), build_agent_side(Keyring(agent_keys))
    )
    assert (entry.peer.instance, agent.peer.instance) == ("agent-1", "entry-1")
    assert entry.done
    assert agent.done


def test_a_peer_without_the_key_learns_nothing_about_the_agent():
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
        run_handshake(entry, agent)


def test_a_recorded_proof_is_invalid_on_another_connection():
    """Guard against a replay of an entry's recorded frames.

    The agent's nonce differs on each connection, so the recorded proof is invalid.
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
        run_handshake(entry, build_agent_side(keyring))


def test_peers_without_a_common_protocol_are_refused():
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


async def test_unauthenticated_peers_cannot_use_up_file_descriptors(monkeypatch):
    """Guard against running out of file descriptors by idle unauthenticated peers."""
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
def test_no_frames_without_the_key_complete_a_handshake(bodies):
    for side in (build_agent_side(Keyring([NEW])), build_entry_side(Keyring([NEW]))):
        try:
            for body in bodies:
                side.receive(body)
        except ProtocolError:
            pass
        assert not side.done


async def test_a_peer_without_the_key_is_disconnected_after_the_challenge():
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


async def test_an_unauthenticated_peer_cannot_send_a_large_frame():
    async with connected() as (near, far):
        near.send(hello=frames.Hello(role="entry", nonce=b"n" * 100_000))
        with pytest.raises(ProtocolError, match="over the limit"):
            await far.handshake(build_agent_side(Keyring([NEW])))
