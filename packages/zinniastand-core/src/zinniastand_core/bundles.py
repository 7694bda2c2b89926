"""The configuration bundle: an immutable map of sections, each with its own digest.

There is one section for the operators, one for each service and one for each shard of
accounts. A change carries only the sections that it replaces, so its size does not
depend on the size of the whole bundle.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing
import zlib

import expression

from . import codec, documents, findings, sections, services

OPERATORS_SECTION = "operators"
SERVICE_PREFIX = "service/"
ACCOUNTS_PREFIX = "accounts/"
ACCOUNT_SHARDS = 256

SectionValue = dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One parsed section of a bundle, with the digest of its source."""

    value: SectionValue
    """Source of the section, in JSON types."""

    digest: bytes
    """Digest of `value`."""

    content: services.Service | services.Operators | tuple[services.Account, ...]
    """The parsed source."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """A complete configuration."""

    sections: collections.abc.Mapping[str, Section]
    """Sections by key."""

    digest: bytes
    """Digest over the keys and digests of all sections."""

    @property
    def operators(self) -> services.Operators:
        """The operators who may sign off the next bundle."""
        content = self.sections[OPERATORS_SECTION].content
        return typing.cast("services.Operators", content)

    @property
    def services(self) -> tuple[services.Service, ...]:
        """All services, in order of their names."""
        keys = sorted(key for key in self.sections if key.startswith(SERVICE_PREFIX))
        found = (self.sections[key].content for key in keys)
        return tuple(c for c in found if isinstance(c, services.Service))

    def find_service(self, name: str) -> services.Service | None:
        """Return the service called `name`, or None if there is none."""
        section = self.sections.get(SERVICE_PREFIX + name)
        content = section.content if section else None
        return content if isinstance(content, services.Service) else None

    def find_account(self, name: str) -> services.Account | None:
        """Return the account called `name`, or None if there is none."""
        section = self.sections.get(name_account_section(name))
        if section is None or not isinstance(section.content, tuple):
            return None
        return next((item for item in section.content if item.name == name), None)


def name_account_section(account: str) -> str:
    """Return the key of the section that holds `account`."""
    shard = zlib.crc32(account.encode()) % ACCOUNT_SHARDS
    return f"{ACCOUNTS_PREFIX}{shard:03d}"


def parse_section(key: str, value: object, collector: documents.Collector) -> Section:
    """Parse one section; findings are added to `collector`."""
    reader = documents.Reader(value, key, collector)
    if key == OPERATORS_SECTION:
        content = sections.read_operators(reader)
    elif key.startswith(SERVICE_PREFIX) and key != SERVICE_PREFIX:
        content = sections.read_service(key.removeprefix(SERVICE_PREFIX), reader)
    elif key.startswith(ACCOUNTS_PREFIX):
        content = sections.read_accounts(reader)
        for account in content:
            if name_account_section(account.name) != key:
                reader.add(account.name, "account in the wrong shard")
    else:
        collector.add(key, "unknown section")
        content = ()
    source = typing.cast("SectionValue", value)
    return Section(source, codec.digest(source), content)


def build(parts: collections.abc.Mapping[str, Section]) -> Bundle:
    """Return the bundle that consists of these sections."""
    listing = [[key, parts[key].digest] for key in sorted(parts)]
    return Bundle(dict(parts), codec.digest(listing))


def parse_sections(
    values: collections.abc.Mapping[str, object],
) -> expression.Result[Bundle, findings.Findings]:
    """Parse a bundle from the sources of its sections, or return all findings."""
    collector = documents.Collector()
    parts = {
        str(key): parse_section(str(key), value, collector)
        for key, value in values.items()
    }
    _check_consistency(parts, collector)
    if collector.has_findings:
        return expression.Error(collector.collect())
    return expression.Ok(build(parts))


def change(
    base: Bundle, changes: collections.abc.Mapping[str, object]
) -> expression.Result[Bundle, findings.Findings]:
    """Return `base` with some sections replaced, added or removed.

    Only the changed sections are parsed; the others were checked when they were
    accepted.

    Parameters
    ----------
    base : Bundle
        The bundle to change.
    changes : Mapping
        New sources by section key; None removes the section.

    Returns
    -------
    expression.Result
        The new bundle, or all findings.
    """
    collector = documents.Collector()
    parts = dict(base.sections)
    for key, value in changes.items():
        if value is None:
            if parts.pop(key, None) is None:
                collector.add(key, "removed, but the base has no such section")
        else:
            parts[key] = parse_section(key, value, collector)
    _check_consistency(parts, collector)
    if collector.has_findings:
        return expression.Error(collector.collect())
    return expression.Ok(build(parts))


def compare(old: Bundle, new: Bundle) -> dict[str, SectionValue | None]:
    """Return the changes that turn `old` into `new`; None removes a section."""
    changed: dict[str, SectionValue | None] = {
        key: section.value
        for key, section in new.sections.items()
        if key not in old.sections or old.sections[key].digest != section.digest
    }
    changed.update({key: None for key in old.sections if key not in new.sections})
    return changed


def split_document(
    document: object,
) -> expression.Result[dict[str, object], findings.Findings]:
    """Split an operator's document into the sources of its sections.

    The document has the keys ``operators``, ``services`` (by name) and, optionally,
    ``accounts`` (requests per second by name).
    """
    collector = documents.Collector()
    reader = documents.Reader(document, "", collector)
    result: dict[str, object] = {OPERATORS_SECTION: _read_source(reader, "operators")}
    named = _read_source(reader, "services")
    result.update({SERVICE_PREFIX + name: value for name, value in named.items()})
    shards: dict[str, dict[str, object]] = {}
    for name, value in _read_source(reader, "accounts").items():
        shards.setdefault(name_account_section(name), {})[name] = value
    result.update(shards)
    reader.refuse_unknown()
    if collector.has_findings:
        return expression.Error(collector.collect())
    return expression.Ok(result)


def parse_document(
    document: object,
) -> expression.Result[Bundle, findings.Findings]:
    """Parse a bundle from an operator's document, or return all findings."""
    match split_document(document):
        case expression.Result(tag="ok", ok=values):
            return parse_sections(values)
        case expression.Result(error=found):
            return expression.Error(found)


def _read_source(reader: documents.Reader, name: str) -> SectionValue:
    nested = reader.read_object(name, optional=name == "accounts")
    nested.read_names()
    return nested.source


def _check_consistency(
    parts: collections.abc.Mapping[str, Section], collector: documents.Collector
) -> None:
    if OPERATORS_SECTION not in parts:
        collector.add(OPERATORS_SECTION, "missing section")
    owners: dict[tuple[str, str], str] = {}
    for key, section in parts.items():
        if not isinstance(section.content, services.Service):
            continue
        for route in section.content.routes:
            for method in route.methods:
                owner = owners.setdefault((route.path_prefix, method), key)
                if owner != key:
                    text = f"{method} {route.path_prefix} is routed by {owner} too"
                    collector.add(f"{key}.routes", text)
