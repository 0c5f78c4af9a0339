"""A program of a later release, whose internal messages and packets have fields unknown to this one.

Started in place of `nettledeal_system.py`, it tests that processes of both releases interoperate.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import cbor2
import msgspec

from nettledeal.common.messages import MessageCodec
from nettledeal.membership.cbor_codec import CborCodec

LATER_FIELD = "of_a_later_release"
LATER_VALUE = {"any": [1, "thing"]}


def extended(value: Any) -> Any:
    """Convert a message to plain values and add a field to each struct at every depth."""
    if isinstance(value, msgspec.Struct):
        return _extended_struct(value)
    if isinstance(value, dict):
        return {key: extended(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [extended(item) for item in value]
    return value.value if isinstance(value, Enum) else value


def _extended_struct(value: msgspec.Struct) -> list | dict:
    config = value.__struct_config__
    items = [extended(getattr(value, name)) for name in value.__struct_fields__]
    if config.array_like:
        return [*([] if config.tag is None else [config.tag]), *items, LATER_VALUE]
    tag = {} if config.tag is None else {config.tag_field: config.tag}
    return {**tag, **dict(zip(value.__struct_encode_fields__, items, strict=True)), LATER_FIELD: LATER_VALUE}


def use_later_release() -> None:
    """Patch the codecs so that all sent messages carry the later release's fields."""
    MessageCodec.encode = lambda self, message: cbor2.dumps(extended(message))
    CborCodec.encode = lambda self, value: cbor2.dumps(extended(value))


if __name__ == "__main__":
    from nettledeal.programs.main import main

    use_later_release()
    main()
