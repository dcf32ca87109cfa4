"""Rules for a configuration file beyond the types of its fields."""

import math
import re
from collections.abc import Callable, Mapping

import msgspec

from weirscale.domain.configuration.checker import DeploymentChecker
from weirscale.domain.configuration.errors import ConfigurationError
from weirscale.domain.configuration.model import (
    MIN_LOG_LEASE_S,
    Deployment,
    EngineRole,
    Service,
)

FILE_FORMAT = 1
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
HTTP_METHODS = frozenset({"*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})

ZERO_ALLOWED_FIELDS = frozenset(
    {
        "priority",
        "burst_requests",
        "waste_weight",
        "tail_weight",
        "max_import_wait_s",
        "budget_ratio",
        "min_retries_per_s",
        "min_ready_engines",
        "max_failed_loads",
    }
)
"""Fields whose value may be zero; all other numbers must be positive."""


def validate_deployment(
    deployment: Deployment, lines: Mapping[str, int]
) -> tuple[ConfigurationError, ...]:
    """Check the rules for a deployment that passed the type checks.

    Args:
        deployment: The declared state.
        lines: Line of each field by path, as `parse_deployment` returns it; may be empty.

    Returns:
        Every error, in the order of the file; empty when the deployment may be applied.
    """
    checker = DeploymentChecker(deployment, lines)
    for rule in _RULES:
        rule(checker)
    return tuple(sorted(checker.errors, key=lambda error: (error.line, error.path)))


def _check_format(checker: DeploymentChecker) -> None:
    if checker.deployment.format != FILE_FORMAT:
        message = f"format {checker.deployment.format} is not known"
        checker.add_error("format", message, f"write `format: {FILE_FORMAT}`")
    checker.check_name("name", checker.deployment.name)


def _check_regions(checker: DeploymentChecker) -> None:
    regions = checker.deployment.regions
    if not regions:
        checker.add_error("regions", "no region", "declare at least one region with a zone")
    checker.check_names("regions", regions)
    zones = [
        (f"regions[{i}].zones[{j}]", zone)
        for i, region in enumerate(regions)
        for j, zone in enumerate(region.zones)
    ]
    checker.check_unique(zones, "zone")
    for path, zone in zones:
        checker.check_name(path, zone)
    for index, region in enumerate(regions):
        if not region.zones:
            checker.add_error(f"regions[{index}].zones", "no zone", "list the region's zones")


def _check_models(checker: DeploymentChecker) -> None:
    deployment = checker.deployment
    checker.check_names("models", deployment.models)
    for index, model in enumerate(deployment.models):
        path = f"models[{index}]"
        num_engines = sum(engine.model == model.name for engine in deployment.engines)
        if model.min_ready_engines >= num_engines:
            message = (
                f"{model.min_ready_engines} of {num_engines} engines must stay ready, "
                "so none can ever be reloaded"
            )
            checker.add_error(f"{path}.min_ready_engines", message, "declare fewer, or add engines")
        adapters = [(f"{path}.adapters[{i}]", name) for i, name in enumerate(model.adapters)]
        checker.check_unique(adapters, "adapter")


def _check_engines(checker: DeploymentChecker) -> None:
    engines = checker.deployment.engines
    checker.check_names("engines", engines)
    for index, engine in enumerate(engines):
        path = f"engines[{index}]"
        checker.check_zone(f"{path}.zone", engine.zone)
        checker.check_address(f"{path}.address", engine.address)
        if engine.model not in checker.models:
            remedy = f"use one of: {', '.join(sorted(checker.models))}"
            checker.add_error(f"{path}.model", f"unknown model `{engine.model}`", remedy)


def _check_roles(checker: DeploymentChecker) -> None:
    for index, model in enumerate(checker.deployment.models):
        roles = {engine.role for engine in checker.deployment.engines if engine.model == model.name}
        if EngineRole.BOTH in roles or not roles:
            continue
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            if role not in roles:
                message = f"no engine of `{model.name}` serves {role.value}"
                remedy = f"give one of the model's engines the role {role.value} or both"
                checker.add_error(f"models[{index}].name", message, remedy)


def _check_services(checker: DeploymentChecker) -> None:
    services = checker.deployment.services
    checker.check_names("services", services)
    backends = [
        (f"services[{i}].backends[{j}]", backend)
        for i, service in enumerate(services)
        for j, backend in enumerate(service.backends)
    ]
    checker.check_unique([(f"{path}.name", backend.name) for path, backend in backends], "name")
    for path, backend in backends:
        checker.check_name(f"{path}.name", backend.name)
        checker.check_zone(f"{path}.zone", backend.zone)
        checker.check_address(f"{path}.address", backend.address)
    for index, service in enumerate(services):
        _check_routes(checker, f"services[{index}]", service)


def _check_routes(checker: DeploymentChecker, path: str, service: Service) -> None:
    if not service.backends:
        checker.add_error(f"{path}.backends", "no back end", "list the service's processes")
    if not service.routes:
        remedy = "declare at least `{method: '*', path_prefix: /, repeatable: false}`"
        checker.add_error(f"{path}.routes", "no route", remedy)
    for index, route in enumerate(service.routes):
        route_path = f"{path}.routes[{index}]"
        if route.method not in HTTP_METHODS:
            remedy = f"use one of: {', '.join(sorted(HTTP_METHODS))}"
            checker.add_error(f"{route_path}.method", f"unknown method `{route.method}`", remedy)
        if not route.path_prefix.startswith("/"):
            remedy = "start the prefix with `/`"
            checker.add_error(f"{route_path}.path_prefix", "not a path", remedy)
        for earlier in service.routes[:index]:
            covers_method = earlier.method in ("*", route.method)
            if covers_method and route.path_prefix.startswith(earlier.path_prefix):
                message = f"never reached: `{earlier.method} {earlier.path_prefix}` matches first"
                checker.add_error(route_path, message, "move this route before the other")
                break


def _check_tenants(checker: DeploymentChecker) -> None:
    tenants = checker.deployment.tenants
    checker.check_names("tenants", tenants)
    digests = [
        (f"tenants[{i}].api_key_sha256[{j}]", digest)
        for i, tenant in enumerate(tenants)
        for j, digest in enumerate(tenant.api_key_sha256)
    ]
    checker.check_unique(digests, "API key digest")
    for path, digest in digests:
        if not DIGEST_PATTERN.fullmatch(digest):
            remedy = "write the 64 lower-case hex digits of `printf %s KEY | sha256sum`"
            checker.add_error(path, "not a SHA-256 digest", remedy)
    for index, tenant in enumerate(tenants):
        if not tenant.api_key_sha256:
            checker.add_error(f"tenants[{index}].api_key_sha256", "no API key", "list a digest")


def _check_kept_kv_stores(checker: DeploymentChecker) -> None:
    checker.check_names("kept_kv_stores", checker.deployment.kept_kv_stores)
    for index, store in enumerate(checker.deployment.kept_kv_stores):
        checker.check_zone(f"kept_kv_stores[{index}].zone", store.zone)
        checker.check_address(f"kept_kv_stores[{index}].address", store.address)


def _check_addresses_unique(checker: DeploymentChecker) -> None:
    deployment = checker.deployment
    used = [(f"engines[{i}].address", e.address) for i, e in enumerate(deployment.engines)]
    used += [
        (f"services[{i}].backends[{j}].address", backend.address)
        for i, service in enumerate(deployment.services)
        for j, backend in enumerate(service.backends)
    ]
    stores = enumerate(deployment.kept_kv_stores)
    used += [(f"kept_kv_stores[{i}].address", store.address) for i, store in stores]
    checker.check_unique(used, "address")


def _check_claims(checker: DeploymentChecker) -> None:
    if checker.deployment.claims.num_holders % 2 == 0:
        message = "an even number of holders tolerates no more failures than one fewer"
        checker.add_error("claims.num_holders", message, "use 1, 3 or 5")
    if checker.deployment.claims.log_lease_s < MIN_LOG_LEASE_S:
        message = "the lease is too short: one slow answer would prevent its renewal"
        checker.add_error("claims.log_lease_s", message, f"write {MIN_LOG_LEASE_S:g} or more")


def _check_numbers(checker: DeploymentChecker) -> None:
    _check_numbers_of(checker, checker.deployment, "")


def _check_numbers_of(checker: DeploymentChecker, value: object, path: str) -> None:
    """Check recursively that numbers are finite and positive, or zero where that is allowed."""
    if isinstance(value, msgspec.Struct):
        for field in value.__struct_fields__:
            field_path = f"{path}.{field}" if path else field
            _check_numbers_of(checker, getattr(value, field), field_path)
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            _check_numbers_of(checker, item, f"{path}[{index}]")
    elif isinstance(value, int | float) and not isinstance(value, bool):
        may_be_zero = path.rpartition(".")[2] in ZERO_ALLOWED_FIELDS
        is_in_range = value >= 0 if may_be_zero else value > 0
        if not math.isfinite(value) or not is_in_range:
            bound = "0 or more" if may_be_zero else "more than 0"
            checker.add_error(path, f"{value} is out of range", f"write a finite number, {bound}")


_RULES: tuple[Callable[[DeploymentChecker], None], ...] = (
    _check_format,
    _check_regions,
    _check_models,
    _check_engines,
    _check_roles,
    _check_services,
    _check_tenants,
    _check_kept_kv_stores,
    _check_addresses_unique,
    _check_claims,
    _check_numbers,
)
