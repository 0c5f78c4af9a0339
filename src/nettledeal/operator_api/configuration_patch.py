"""A change of named items of the configuration: read, checked, and applied to a whole configuration.

What a patch does not name stays to the byte, also fields that this release does not know.
"""

from __future__ import annotations

import msgspec

from nettledeal.common.errors import ErrorCode, ServingError

GENERATION = "generation"
# The lists whose items have names, by the configuration's keys.
LISTS = ("routes", "services", "cache_tenants", "cache_tenant_regions")

_NO_ITEMS = msgspec.Raw(b"[]")


class ConfigurationPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Items to add, or to put in the place of those of the same name, and names to remove, by list."""

    generation: int
    upsert: dict[str, list[msgspec.Raw]] = {}
    delete: dict[str, list[str]] = {}


class _Named(msgspec.Struct, frozen=True):
    name: str


_PATCH = msgspec.json.Decoder(ConfigurationPatch)
_NAMED = msgspec.json.Decoder(_Named)
_ITEMS = msgspec.json.Decoder(list[msgspec.Raw])
_WHOLE = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_patch(body: bytes) -> ConfigurationPatch:
    """Read a patch; raises ServingError with INVALID_CONFIGURATION naming the field."""
    try:
        patch = _PATCH.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from None
    unknown = sorted((patch.upsert.keys() | patch.delete.keys()) - set(LISTS))
    if unknown:
        raise _invalid(f"{unknown[0]!r}: no list of the configuration")
    return patch


def patched(configuration: bytes, patch: ConfigurationPatch) -> bytes:
    """The whole configuration that follows from a patch of a sound one.

    Raises ServingError with INVALID_CONFIGURATION where a name is missing, twice, or to be removed but not
    there. Whether what results is sound has to be checked after that.
    """
    whole = _WHOLE.decode(configuration)
    for key in LISTS:
        items = _ITEMS.decode(whole.get(key, _NO_ITEMS))
        changed = _changed_items(key, items, patch.upsert.get(key, []), patch.delete.get(key, []))
        if changed is not None:
            whole[key] = msgspec.Raw(msgspec.json.encode(changed))
    whole[GENERATION] = msgspec.Raw(str(patch.generation).encode())
    return msgspec.json.encode(whole)


def _changed_items(
    key: str, items: list[msgspec.Raw], upsert: list[msgspec.Raw], delete: list[str]
) -> list[msgspec.Raw] | None:
    """The list's items after the change, None where nothing of it changes."""
    if not upsert and not delete:
        return None
    by_name = _by_name(key, items)
    for name in delete:
        if by_name.pop(name, None) is None:
            raise _invalid(f"delete.{key}: {name!r} is not there, or is named twice")
    added = _by_name(f"upsert.{key}", upsert)
    both = sorted(added.keys() & set(delete))
    if both:
        raise _invalid(f"upsert.{key}: {both[0]!r} is to be deleted as well")
    by_name.update(added)
    return list(by_name.values())


def _by_name(field: str, items: list[msgspec.Raw]) -> dict[str, msgspec.Raw]:
    found: dict[str, msgspec.Raw] = {}
    for index, item in enumerate(items):
        try:
            name = _NAMED.decode(item).name
        except msgspec.MsgspecError as error:
            raise _invalid(f"{field}[{index}]: {error}") from None
        if name in found:
            raise _invalid(f"{field}[{index}]: {name!r} is there twice")
        found[name] = item
    return found


def _invalid(reason: str) -> ServingError:
    return ServingError(ErrorCode.INVALID_CONFIGURATION, "read patch", reason)
