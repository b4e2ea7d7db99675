"""Which requests of clients are valid, and how they are forwarded, over loopback sockets."""

from __future__ import annotations

import pytest

from gateway.network.clients.request_parser import InvalidRequestError, RequestParser
from gateway.policy.settings import Idempotency, Plan, RequestClass
from tests.support.event_loop import run_in_loop
from tests.support.fake_services import FakeBackend, ScriptedReply
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.policy_settings import settings
from tests.support.replies import is_error, served_reply
from tests.support.request_commands import request_command

ATTRIBUTES = b"c=view,t=free,d=480,units=1,spread=1,first=0"
CUSTOMER = b"00000000b4d65521"


def with_attribute(old: bytes, new: bytes, command: bytes = b"API.READ") -> tuple[bytes, ...]:
    """A valid request but for one part of its attributes."""
    assert old in ATTRIBUTES
    return command, CUSTOMER, b"b", ATTRIBUTES.replace(old, new)


INVALID_COMMANDS = [
    ((b"API.READ",), "wrong number of arguments"),
    ((b"API.READ", CUSTOMER, b"b", ATTRIBUTES, b"body", b"more"), "wrong number of arguments"),
    ((b"API.READ", CUSTOMER, b"b", b"nonsense"), "malformed attributes"),
    ((b"API.READ", CUSTOMER, b"b", ATTRIBUTES + b",d=3"), "malformed attributes"),
    ((b"API.READ", b"a", b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", b"0000000200000000", b"b", ATTRIBUTES), "malformed customer"),  # 2^33
    ((b"API.READ", b"+0000000b4d65521", b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", b"\xff" * 16, b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", CUSTOMER, b"", ATTRIBUTES), "malformed id"),
    ((b"API.READ", CUSTOMER, b"a b", ATTRIBUTES), "malformed id"),
    ((b"API.READ", CUSTOMER, b"x" * 65, ATTRIBUTES), "malformed id"),
    ((b"API.WRITE", CUSTOMER, b"b", ATTRIBUTES), "class of another command"),
    (with_attribute(b"view", b"wipe"), "class of another command"),
    (with_attribute(b"view", b"keyed", b"API.WRITE"), "key missing"),
    (with_attribute(b",d=480", b""), "d is no number"),
    *((with_attribute(b"480", new), "d is no number") for new in (b"", b"-3", b"1e3", b"1_0", b" 5")),
    *((with_attribute(b"480", new), "d is no number") for new in (b"nan", b"inf", b"soon")),
    *((with_attribute(b"480", new), "time left out of range") for new in (b"0", b"999999999")),
    *((with_attribute(b"view", new), "unknown class") for new in (b"", b"views", b"\xff")),
    *((with_attribute(b"free", new), "unknown plan") for new in (b"", b"golden")),
    *(
        (with_attribute(b"units=1", b"units=" + new), "units is no number")
        for new in (b"", b"-1", b"1_0", b"nan", b"x")
    ),
    *((with_attribute(b"units=1", b"units=" + new), "units out of range") for new in (b"0", b"2")),
    *(
        (with_attribute(b"spread=1", b"spread=" + new), "spread is no number")
        for new in (b"", b"-1", b"x", b"1.0")
    ),
    *((with_attribute(b"spread=1", b"spread=" + new), "set out of range") for new in (b"0", b"2")),
    *((with_attribute(b"first=0", b"first=" + new), "first is no number") for new in (b"", b"-1", b"x")),
    (with_attribute(b"first=0", b"first=1"), "set out of range"),
    ((b"HELLO", b"3"), "unknown command"),
    ((b"",), "unknown command"),
]


@pytest.mark.parametrize(("command", "reason"), INVALID_COMMANDS)
def test_an_invalid_command_fails_alone_and_with_its_reason(command: tuple[bytes, ...], reason: str) -> None:
    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend())) as harness:
            peer = await harness.client()

            peer.send(*command)
            peer.send(*request_command())

            reply = await peer.receive()
            assert is_error(reply)
            assert str(reply) == f"ERR {reason}"
            assert await peer.receive() == b"value"
            assert len(harness.backends[0].received) == 1

    run_in_loop(scenario)


def test_values_and_bodies_pass_untouched_and_backends_learn_the_remaining_time() -> None:
    # The largest, 64 KiB. Line ends inside values would show a reply or a command that is encoded carelessly.
    blob = bytes(range(256)) * 256

    async def reply_with_blob(_command: list[bytes]) -> ScriptedReply:
        return served_reply(blob)

    async def scenario() -> None:
        async with running_gateway(GatewayHarness(FakeBackend(reply_with_blob))) as harness:
            peer = await harness.client()

            reply = await harness.request(peer, request_class=b"wipe", body=blob)

            assert reply == blob
            command, customer, request_id, attributes, body = harness.backends[0].received[0]
            assert command == b"API.WRITE"
            assert (customer, request_id) == request_command()[1:3]
            assert body == blob
            before, name, rest = attributes.partition(b"d=")
            remaining_ms, _comma, after = rest.partition(b",")
            assert before + name == b"c=wipe,t=free,d="
            assert after == b"units=1,spread=1,first=0"
            assert 2000 < int(remaining_ms) <= 3000

    run_in_loop(scenario)


@pytest.fixture
def parser() -> RequestParser:
    view = RequestClass("view", 1500, 4000, idempotency=Idempotency.IDEMPOTENT)
    return RequestParser(settings(gateway_count=1, request_classes=(view,), plans=(Plan("free"),)))


@pytest.mark.parametrize(
    ("attributes", "forwarded"),
    [
        (b"d=480,c=view,t=free,units=1,spread=1,first=0", b"d=77,c=view,t=free,units=1,spread=1,first=0"),
        (b"c=view,t=free,units=1,spread=1,first=0,d=480.5", b"c=view,t=free,units=1,spread=1,first=0,d=77"),
        (
            b"c=view,od=480,t=free,d=480,units=1,spread=1,first=0",
            b"c=view,od=480,t=free,d=77,units=1,spread=1,first=0",
        ),
    ],
)
def test_only_the_remaining_time_is_replaced_wherever_it_stands(
    parser: RequestParser, attributes: bytes, forwarded: bytes
) -> None:
    parsed = parser.parse([b"API.READ", CUSTOMER, b"b", attributes])

    encoded = parsed.encode(77)

    arguments = (b"API.READ", CUSTOMER, b"b", forwarded)
    assert encoded == b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(a), a) for a in arguments)


def test_an_invalid_request_error_is_a_value_error_with_the_reason(parser: RequestParser) -> None:
    with pytest.raises(ValueError, match=r"^unknown class$") as raised:
        parser.parse([b"API.READ", CUSTOMER, b"b", ATTRIBUTES.replace(b"view", b"other")])

    assert isinstance(raised.value, InvalidRequestError)
