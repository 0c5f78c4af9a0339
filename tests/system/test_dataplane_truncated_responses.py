"""Responses truncated at any byte never look complete to the client, and resumable streams are resumed."""

import pytest

from system.dataplane_rig import FakeBackend, chunk_of, event, response_bytes, running, stream_head

PLAIN = response_bytes("r1", b"a body")
STREAM = stream_head("r1") + b"".join(chunk_of(event(number)) for number in (1, 2, 3)) + b"0\r\n\r\n"
# Up to here no complete line of an event has been sent.
BEFORE_FIRST_EVENT = len(stream_head("r1")) + chunk_of(event(1)).index(b"\n") + 1
WHOLE_STREAM = b"".join(event(number) for number in (1, 2, 3))


def send_and_close(data: bytes):
    def script(_, sock, request):
        sock.sendall(data)
        return False

    return script


def resume_stream(_, sock, request):
    first = int(request.headers.get("last-event-id", 0)) + 1
    sock.sendall(stream_head(request.request_id))
    for number in range(first, 4):
        sock.sendall(chunk_of(event(number)))
    sock.sendall(b"0\r\n\r\n")
    return True


def test_a_plain_response_truncated_anywhere_is_a_failure():
    backend = FakeBackend("i-1")
    with running(backend) as rig:
        for length in range(len(PLAIN)):
            rig.plane.selector.update_backends([], 0.0)  # resets the health of the backend
            rig.apply_catalogue()
            backend.script = send_and_close(PLAIN[:length])
            client = rig.client()
            assert client.ask()[0] == 502
            client.close()


def test_a_stream_truncated_anywhere_is_never_complete():
    backend = FakeBackend("i-1")
    with running(backend) as rig:
        for length in range(len(STREAM)):
            rig.plane.selector.update_backends([], 0.0)
            rig.apply_catalogue()
            backend.script = send_and_close(STREAM[:length])
            client = rig.client()
            client.send("/stream/x")
            if length <= BEFORE_FIRST_EVENT:
                assert client.receive()[0] == 502
            else:
                with pytest.raises(EOFError):
                    client.receive()
            client.close()


def test_a_resumable_stream_truncated_anywhere_arrives_complete():
    first, second = FakeBackend("i-1"), FakeBackend("i-2", script=resume_stream)
    with running(first, second) as rig:
        for length in range(len(STREAM)):
            rig.plane.selector.update_backends([], 0.0)
            rig.apply_catalogue()
            rig.plane.budget._spent.clear()
            first.script = send_and_close(STREAM[:length])
            client = rig.client()
            status, _, body = client.ask("/resume/x")
            assert (status, body) == (200, WHOLE_STREAM), length
            client.close()
