"""Parsers for the sections of a bundle: services, operators, accounts."""

from __future__ import annotations

import base64
import binascii
import ipaddress

from . import documents, services

PUBLIC_KEY_BYTES = 32
MAX_PORT = 65535
MS_PER_S = 1000.0


def read_service(name: str, reader: documents.Reader) -> services.Service:
    """Parse the section of a service; findings go to the reader's collector."""
    kinds = tuple(_read_kind(item) for item in reader.read_objects("kinds"))
    routes = tuple(_read_route(item) for item in reader.read_objects("routes"))
    targets = tuple(_read_target(item) for item in reader.read_objects("targets"))
    service = services.Service(
        name=name,
        floor_slots=reader.read_integer("floor_slots"),
        detection_weight=reader.read_number("detection_weight", 0.5, 0, 1),
        max_in_flight=reader.read_integer("max_in_flight", 64, 1, 100_000),
        max_queue=reader.read_integer("max_queue", 64, 0, 100_000),
        echo_header=reader.read_text("echo_header", "").lower(),
        probe_path=reader.read_text("probe_path", "/health"),
        not_started=_read_not_started(reader),
        kinds=kinds,
        routes=tuple(sorted(routes, key=_rank_route)),
        targets=targets,
    )
    _check_service(service, routes, reader)
    reader.refuse_unknown()
    return service


def read_operators(reader: documents.Reader) -> services.Operators:
    """Parse the section of the operators."""
    members = tuple(_read_operator(item) for item in reader.read_objects("members"))
    needed = reader.read_integer("sign_offs_needed", 1, 1, 99)
    if needed > len({member.name for member in members}):
        reader.add("sign_offs_needed", "more sign-offs than operators")
    if len({member.public_key for member in members}) != len(members):
        reader.add("members", "two operators share a public key")
    reader.refuse_unknown()
    return services.Operators(members, needed)


def read_accounts(reader: documents.Reader) -> tuple[services.Account, ...]:
    """Parse one shard of accounts: a map of names to requests per second."""
    return tuple(
        services.Account(name, reader.read_number(name, None, 0, 1e7))
        for name in reader.read_names()
    )


def _read_kind(reader: documents.Reader) -> services.Kind:
    kind = services.Kind(
        name=reader.read_text("name"),
        work=services.Work(reader.read_choice("work", list(services.Work))),
        time_limit=reader.read_number("time_limit_ms", None, 1, 600_000) / MS_PER_S,
        weight=reader.read_number("weight", 1.0, 0.001, 1000),
    )
    reader.refuse_unknown()
    return kind


def _read_route(reader: documents.Reader) -> services.Route:
    route = services.Route(
        path_prefix=reader.read_text("path_prefix"),
        methods=tuple(m.upper() for m in reader.read_texts("methods")),
        kind=reader.read_text("kind"),
    )
    if not route.path_prefix.startswith("/"):
        reader.add("path_prefix", "must start with /")
    reader.refuse_unknown()
    return route


def _rank_route(route: services.Route) -> tuple[int, str]:
    return -len(route.path_prefix), route.path_prefix


def _read_target(reader: documents.Reader) -> services.Target:
    target = services.Target(
        name=reader.read_text("name"),
        host=reader.read_text("host"),
        port=reader.read_integer("port", None, 1, MAX_PORT),
        data_centre=reader.read_text("data_centre"),
        slots=reader.read_integer("slots", None, 1, 10_000),
        draining=reader.read_flag("draining", False),
    )
    try:
        ipaddress.ip_address(target.host)
    except ValueError:
        reader.add("host", f"expected an IP number, got {target.host!r}")
    reader.refuse_unknown()
    return target


def _read_not_started(reader: documents.Reader) -> services.NotStartedRule:
    nested = reader.read_object("not_started", optional=True)
    rule = services.NotStartedRule(
        status=nested.read_integer("status", 503, 400, 599),
        header=nested.read_text("header", "x-not-started").lower(),
    )
    nested.refuse_unknown()
    return rule


def _read_operator(reader: documents.Reader) -> services.Operator:
    name = reader.read_text("name")
    text = reader.read_text("public_key")
    try:
        key = base64.b64decode(text, validate=True)
    except binascii.Error:
        key = b""
    if len(key) != PUBLIC_KEY_BYTES:
        reader.add("public_key", "expected 32 bytes in base64")
    reader.refuse_unknown()
    return services.Operator(name, key)


def _check_service(
    service: services.Service,
    routes: tuple[services.Route, ...],
    reader: documents.Reader,
) -> None:
    """Check rules that involve several fields.

    `routes` are in document order, so that findings have the index of the document.
    """
    _check_unique(reader, "targets", [target.name for target in service.targets])
    _check_unique(reader, "kinds", [kind.name for kind in service.kinds])
    for index, route in enumerate(routes):
        if service.find_kind(route.kind) is None:
            reader.add(f"routes[{index}].kind", f"no kind named {route.kind!r}")
    available = sum(t.slots for t in service.targets if not t.draining)
    if service.floor_slots > available:
        reader.add(
            "floor_slots",
            f"{service.floor_slots} is above the {available} slots not draining",
        )


def _check_unique(reader: documents.Reader, name: str, values: list[str]) -> None:
    for index, value in enumerate(values):
        if value in values[:index]:
            reader.add(f"{name}[{index}].name", f"{value!r} appears more than once")
