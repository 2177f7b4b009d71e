/**
 * Reads a report from the list of values as which it travels.
 *
 * @module
 */
import { MemberPhase, type MemberReport } from "./member.ts";

const PHASES: ReadonlySet<unknown> = new Set(MemberPhase.options);

/**
 * Checks values in the order of the schema's fields; `undefined` where the schema would refuse them.
 *
 * Written out in place of the schema: a datagram brings a dozen reports that are news, and naming their fields and
 * checking them by the schema took 0.3 of the 0.6 ms that such a datagram takes in a daemon's first minute. A test
 * holds this against the schema.
 */
export function readReportRow(
  row: readonly unknown[],
): MemberReport | undefined {
  const [
    address,
    incarnation,
    sequence,
    availabilityZone,
    forwardAddress,
    service,
    phase,
    slots,
    waitMs,
    serviceMs,
    utilization,
    failureShare,
    configurationVersion,
    ownershipRevision,
    reachesStore,
  ] = row;
  const isReport = isText(address) && address !== "" &&
    isCount(incarnation) && isCount(sequence) &&
    isText(availabilityZone) && isText(forwardAddress) && isText(service) &&
    isPhase(phase) && isCount(slots) &&
    isAmount(waitMs) && isAmount(serviceMs) && isAmount(utilization) &&
    isAmount(failureShare) && failureShare <= 1 &&
    isAmount(configurationVersion) && isCount(ownershipRevision) &&
    typeof reachesStore === "boolean";
  return isReport
    ? {
      address,
      incarnation,
      sequence,
      availabilityZone,
      forwardAddress,
      service,
      phase,
      slots,
      waitMs,
      serviceMs,
      utilization,
      failureShare,
      configurationVersion,
      ownershipRevision,
      reachesStore,
    }
    : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === "string";
}

function isPhase(value: unknown): value is MemberPhase {
  return PHASES.has(value);
}

function isCount(value: unknown): value is number {
  return isAmount(value) && Number.isSafeInteger(value);
}

function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
