"""Tests of which requests of clients are valid and how they are forwarded, over loopback sockets."""

from __future__ import annotations

import pytest

from gateway.network.clients.request_parser import InvalidRequestError, RequestParser
from gateway.policy.settings import Idempotency, Plan, RequestClass
from tests.support.event_loop import runs_in_loop
from tests.support.fake_services import FakeBackend, always
from tests.support.gateway_harness import GatewayHarness, running_gateway
from tests.support.policy_settings import settings
from tests.support.replies import is_error, served_reply
from tests.support.request_commands import request_command

ATTRIBUTES = b"c=view,t=free,d=480,units=1,spread=1,first=0"
CUSTOMER = b"00000000b4d65521"


INVALID_ATTRIBUTES: list[tuple[bytes, list[bytes], str]] = [
    (b",d=480", [b""], "d is no number"),
    (
        b"d=480",
        [b"d=", b"d=-3", b"d=1e3", b"d=1_0", b"d= 5", b"d=nan", b"d=inf", b"d=soon"],
        "d is no number",
    ),
    (b"d=480", [b"d=0", b"d=999999999"], "time left out of range"),
    (b"c=view", [b"c=", b"c=views", b"c=\xff"], "unknown class"),
    (b"c=view", [b"c=wipe"], "class of another command"),
    (b"t=free", [b"t=", b"t=golden"], "unknown plan"),
    (b"units=1", [b"units=", b"units=-1", b"units=1_0", b"units=nan", b"units=x"], "units is no number"),
    (b"units=1", [b"units=0", b"units=2"], "units out of range"),
    (b"spread=1", [b"spread=", b"spread=-1", b"spread=x", b"spread=1.0"], "spread is no number"),
    (b"spread=1", [b"spread=0", b"spread=2"], "set out of range"),
    (b"first=0", [b"first=", b"first=-1", b"first=x"], "first is no number"),
    (b"first=0", [b"first=1"], "set out of range"),
]
"""A valid attribute, invalid replacements, and the reason why requests with them are rejected."""


def replace_attribute(valid: bytes, invalid: bytes, command: bytes = b"API.READ") -> tuple[bytes, ...]:
    """Return a request in which the attribute `invalid` replaces `valid`."""
    assert valid in ATTRIBUTES
    return command, CUSTOMER, b"b", ATTRIBUTES.replace(valid, invalid)


INVALID_COMMANDS = [
    ((b"API.READ",), "wrong number of arguments"),
    ((b"API.READ", CUSTOMER, b"b", ATTRIBUTES, b"body", b"more"), "wrong number of arguments"),
    ((b"API.READ", CUSTOMER, b"b", b"nonsense"), "malformed attributes"),
    ((b"API.READ", CUSTOMER, b"b", ATTRIBUTES + b",d=3"), "malformed attributes"),
    ((b"API.READ", b"a", b"b", ATTRIBUTES), "malformed customer"),
    # 2**33 is the first number out of the range of customers.
    ((b"API.READ", b"0000000200000000", b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", b"+0000000b4d65521", b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", b"\xff" * 16, b"b", ATTRIBUTES), "malformed customer"),
    ((b"API.READ", CUSTOMER, b"", ATTRIBUTES), "malformed id"),
    ((b"API.READ", CUSTOMER, b"a b", ATTRIBUTES), "malformed id"),
    ((b"API.READ", CUSTOMER, b"x" * 65, ATTRIBUTES), "malformed id"),
    ((b"API.WRITE", CUSTOMER, b"b", ATTRIBUTES), "class of another command"),
    (replace_attribute(b"c=view", b"c=keyed", b"API.WRITE"), "key missing"),
    ((b"HELLO", b"3"), "unknown command"),
    ((b"",), "unknown command"),
    *(
        (replace_attribute(valid, invalid), reason)
        for valid, replacements, reason in INVALID_ATTRIBUTES
        for invalid in replacements
    ),
]


@pytest.mark.parametrize(("command", "reason"), INVALID_COMMANDS)
@runs_in_loop
async def test_an_invalid_command_fails_alone_and_with_its_reason(
    command: tuple[bytes, ...], reason: str
) -> None:
    async with running_gateway(GatewayHarness(FakeBackend())) as harness:
        peer = await harness.client()

        peer.send(*command)
        peer.send(*request_command())

        reply = await peer.receive()
        assert is_error(reply)
        assert str(reply) == f"ERR {reason}"
        assert await peer.receive() == b"value"
        assert len(harness.backends[0].received) == 1


@runs_in_loop
async def test_values_and_bodies_pass_unchanged_and_backends_receive_the_remaining_time() -> None:
    # The largest value contains line ends, so an encoding that relies on line ends would fail.
    largest_value = bytes(range(256)) * 256
    backend = FakeBackend(always(served_reply(largest_value)))
    async with running_gateway(GatewayHarness(backend)) as harness:
        peer = await harness.client()

        reply = await harness.request(peer, request_class=b"wipe", body=largest_value)

        assert reply == largest_value
        command, customer, request_id, attributes, body = backend.received[0]
        assert command == b"API.WRITE"
        assert (customer, request_id) == request_command()[1:3]
        assert body == largest_value
        before, name, rest = attributes.partition(b"d=")
        remaining_ms, _comma, after = rest.partition(b",")
        assert before + name == b"c=wipe,t=free,d="
        assert after == b"units=1,spread=1,first=0"
        assert 2000 < int(remaining_ms) <= 3000


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
