"""Check the references, shares and fault times of a workload."""

from collections.abc import Iterator

from bamboodeck.policybench.workload import (
    EnginesLost,
    VersionBad,
    Workload,
    ZoneCut,
)


def check_references(workload: Workload) -> Iterator[str]:
    """Yield a line for each invalid reference, share or fault time."""
    versions = {version.name for version in workload.versions}
    yield from _check_customers(workload, versions)
    yield from _check_versions(workload, versions)
    for engines in workload.engines:
        for version in engines.versions:
            if version not in versions:
                yield _unknown(f'engines {engines.name}', 'versions', version)
    yield from _check_faults(workload, versions)


def _check_customers(workload: Workload, versions: set[str]) -> Iterator[str]:
    served = {name for each in workload.engines for name in each.versions}
    for customer in workload.customers:
        section = f'customer {customer.name}'
        if not customer.versions:
            yield f'[{section}] versions: empty'
        for version in customer.versions:
            if version not in versions:
                yield _unknown(section, 'versions', version)
            elif version not in served:
                yield f'[{section}] versions: no engine serves "{version}"'
    if sum(each.share for each in workload.customers) <= 0:
        yield 'the shares of all customers are 0'
    if sum(each.share for each in workload.classes) <= 0:
        yield 'the shares of all classes are 0'


def _check_versions(workload: Workload, versions: set[str]) -> Iterator[str]:
    classes = {each.name for each in workload.classes}
    providers = {provider.name for provider in workload.providers}
    for version in workload.versions:
        section = f'version {version.name}'
        for missing in sorted(classes - set(version.quality)):
            yield f'[{section}] quality.{missing}: missing'
        for extra in sorted(set(version.quality) - classes):
            yield _unknown(section, f'quality.{extra}', extra)
        if providers and version.provider not in providers:
            yield _unknown(section, 'provider', version.provider)
        baseline = version.rollout_baseline
        if baseline and baseline not in versions:
            yield _unknown(section, 'rollout_baseline', baseline)


def _check_faults(workload: Workload, versions: set[str]) -> Iterator[str]:
    zones = {engines.zone for engines in workload.engines}
    for fault in workload.faults:
        if fault.until_s <= fault.at_s:
            yield f'a fault ends at {fault.until_s:g} s, before it starts'
        match fault:
            case VersionBad(version) if version not in versions:
                yield _unknown('fault', 'version', version)
            case EnginesLost(zone) | ZoneCut(zone) if zone not in zones:
                yield _unknown('fault', 'zone', zone)


def _unknown(section: str, key: str, name: str) -> str:
    return f'[{section}] {key}: "{name}" does not exist'
