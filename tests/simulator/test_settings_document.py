from __future__ import annotations

import re

import pytest

from gateway.errors import GatewayError
from gateway.settings_document import SettingsError, parse_settings


@pytest.mark.parametrize(
    ("request_class", "message"),
    [
        pytest.param(
            {"name": "view", "deadline": 1, "effect": "odd"},
            "expected one of 'pure', 'token', 'side_effect' for 'effect', got 'odd'",
            id="idempotency",
        ),
        pytest.param(
            {"name": "view", "deadline": 1, "effect": "pure", "group": "planet"},
            "expected one of 'all', 'zone', 'cell' for 'group', got 'planet'",
            id="deduplication scope",
        ),
    ],
)
def test_an_undefined_value_is_named_with_those_that_are_defined(
    request_class: dict[str, object], message: str
) -> None:
    with pytest.raises(SettingsError, match=re.escape(message)) as caught:
        parse_settings({"classes": [request_class]})

    assert isinstance(caught.value, GatewayError)
