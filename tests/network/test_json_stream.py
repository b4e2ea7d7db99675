"""Objects out of a stream, whatever pieces it comes in."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway.network import json_stream as jsonlines
from gateway.network.json_stream import JsonObjectReader, JsonStreamError, iterate_array

PLAIN = st.one_of(st.none(), st.booleans(), st.integers(), st.text('ab"\\é', max_size=5))
HOSTS = st.lists(st.dictionaries(st.text("abc", max_size=3), PLAIN, max_size=3), max_size=9)


def parts(text: str, most: int = 4) -> tuple[list[list[Any]], dict[str, Any]]:
    fields: dict[str, Any] = {}
    return list(iterate_array(text, "hosts", most, fields)), fields


@given(HOSTS, st.booleans(), st.sampled_from([None, 1, 4]), st.sampled_from([0, 1, 2]))
def test_parts_hold_what_the_object_holds(hosts: Any, whole: bool, indent: int | None, place: int) -> None:
    """The list may stand before, between or behind what tells its scope."""
    items: list[tuple[str, Any]] = [("seq", 41), ("whole", whole)]
    items.insert(place, ("hosts", hosts))
    got, fields = parts(json.dumps(dict(items), indent=indent))
    assert [item for part in got for item in part] == hosts
    assert all(1 <= len(part) <= 4 for part in got)
    assert fields == {"seq": 41, "whole": whole}


@pytest.mark.parametrize(
    "text",
    (
        "|[]|{|3|{1:2}|" + '{"seq"|{"seq":1|{"seq":1,|{"seq":1,}|{"seq":x}|{"seq" 1}|'
        '{"hosts":[|{"hosts":[1|{"hosts":[1,|{"hosts":[1,]}|{"hosts":[1 2]}|{"hosts":[]]}|{"hosts":[]} {}|'
        '{"hosts":[{"host":"h]}|{"hosts":[]'
    ).split("|"),
)
def test_what_is_no_whole_object_is_named(text: str) -> None:
    with pytest.raises(JsonStreamError):
        parts(text)


OBJECTS = [
    {"seq": 1, "hosts": [{"host": "a"}]},
    {"seq": 2, "hosts": []},
    {"seq": 3, "hosts": [{"host": "b"}] * 5},
]


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30), st.sampled_from([None, 1]))
def test_objects_are_found_in_whatever_pieces_they_come(sizes: list[int], indent: int | None) -> None:
    stream = b"\n\n".join(json.dumps(o, indent=indent).encode() for o in OBJECTS) + b"\n\n"
    reader, got, at = JsonObjectReader(), [], 0
    while at < len(stream):
        size = sizes[len(got) % len(sizes)]
        got += reader.feed(stream[at : at + size])
        at += size
    assert [json.loads(text) for text in got] == OBJECTS
    assert reader.end() == []


def test_the_end_of_the_stream_ends_an_object_and_tells_of_half_of_one() -> None:
    reader = JsonObjectReader()
    assert reader.feed(b'{"seq":1}') == [] and reader.end() == [b'{"seq":1}']
    assert reader.feed(b'{\n"seq":1') == []
    with pytest.raises(JsonStreamError):
        reader.end()


@pytest.mark.parametrize("behind", [b"\n", b'{"seq":2}\n'])
def test_an_object_that_was_cut_short_is_named_by_what_follows(behind: bytes) -> None:
    reader = JsonObjectReader()
    assert reader.feed(b'{"seq":1,"hosts":[{"host":"a"},\n') == []
    with pytest.raises(JsonStreamError):
        reader.feed(behind[:1] or b"")
        reader.feed(behind[1:])


def test_what_does_not_end_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jsonlines, "LONGEST", 1_000)
    reader = JsonObjectReader()
    with pytest.raises(JsonStreamError):
        for _ in range(11):
            reader.feed(b"{" + b" " * 99)
