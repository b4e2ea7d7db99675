"""Configuration files that a gateway must reject."""

_ADDRESS_FIELDS = '{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", '

INVALID_CONFIGURATIONS = {
    "empty": "",
    "a list": "[]",
    "no keys": "{}",
    "addresses without ports": '{"listen": "here", "discovery": "there", "settings": {}}',
    "an infinite gateway count": _ADDRESS_FIELDS + '"settings": {"groupSize": 1e999}}',
    "an infinite descriptor limit": _ADDRESS_FIELDS + '"limits": {"sockets": Infinity}, "settings": {}}',
    "an unknown effect": _ADDRESS_FIELDS
    + '"settings": {"classes": [{"name": "c", "deadline": 1, "effect": "odd"}]}}',
    "nested too deeply": "[" * 100_000,
    "not UTF-8": "\udcff",
}
"""Contents of the files, by their faults.

Write them with `errors="surrogateescape"`, which turns the lone surrogate into a byte that is not UTF-8.
"""
