/**
 * Decodes a report from the list of values in its transmitted form.
 *
 * @module
 */
import {
  MAX_RANK_WAITS,
  MAX_WAIT_MS,
  MemberPhase,
  MemberReport,
  StatedStatus,
} from "./member.ts";

const REPORT_FIELDS = Object.keys(MemberReport.shape);
const CAPACITY_INDEX = REPORT_FIELDS.indexOf("capacity");
const STATED_STATUS_INDEX = REPORT_FIELDS.indexOf("statedStatus");
const RANK_WAITS_INDEX = REPORT_FIELDS.indexOf("rankWaitsMs");
const LATE_RANK_WAITS_INDEX = REPORT_FIELDS.indexOf("lateRankWaitsMs");
const BODY_WAIT_INDEX = REPORT_FIELDS.indexOf("bodyWaitMs");
const MEMBER_PHASES: ReadonlySet<unknown> = new Set(MemberPhase.options);

/**
 * Validates values in the order of the schema's fields; returns `undefined` if the schema would reject them.
 *
 * It does not use the schema: a datagram contains a dozen new reports in a daemon's first minute, and building objects
 * from them and validating these with the schema takes 0.3 ms of the 0.6 ms that such a datagram takes to process. A
 * test compares this function with the schema.
 */
export function decodeReportRow(
  row: readonly unknown[],
): MemberReport | undefined {
  const [
    address,
    incarnation,
    sequence,
    availabilityZone,
    peerAddress,
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
  // Earlier versions report no capacity, or no stated status.
  const capacity = row.length > CAPACITY_INDEX ? row[CAPACITY_INDEX] : slots;
  const statedStatus = decodeStatedStatus(
    row.length > STATED_STATUS_INDEX ? row[STATED_STATUS_INDEX] : null,
  );
  const rankWaitsMs = decodeRankWaits(row, RANK_WAITS_INDEX);
  const lateRankWaitsMs = decodeRankWaits(row, LATE_RANK_WAITS_INDEX);
  // Earlier versions report no wait of bodies.
  const bodyWaitMs = row.length > BODY_WAIT_INDEX ? row[BODY_WAIT_INDEX] : 0;
  const isValid = isString(address) && address !== "" &&
    isNonNegativeInteger(incarnation) && isNonNegativeInteger(sequence) &&
    isString(availabilityZone) && isString(peerAddress) &&
    isString(service) &&
    isPhase(phase) && isNonNegativeInteger(slots) &&
    isNonNegativeNumber(waitMs) && isNonNegativeNumber(serviceMs) &&
    isNonNegativeNumber(utilization) &&
    isNonNegativeNumber(failureShare) && failureShare <= 1 &&
    isNonNegativeNumber(configurationVersion) &&
    isNonNegativeInteger(ownershipRevision) &&
    typeof reachesStore === "boolean" &&
    isNonNegativeNumber(capacity) && statedStatus !== undefined &&
    rankWaitsMs !== undefined && lateRankWaitsMs !== undefined &&
    isNonNegativeNumber(bodyWaitMs) && bodyWaitMs <= MAX_WAIT_MS;
  return isValid
    ? {
      address,
      incarnation,
      sequence,
      availabilityZone,
      peerAddress,
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
      capacity,
      statedStatus,
      rankWaitsMs,
      lateRankWaitsMs,
      bodyWaitMs,
    }
    : undefined;
}

/** Returns `undefined` if the value is invalid. Few reports contain a status, so validating it takes little time. */
function decodeStatedStatus(value: unknown): StatedStatus | null | undefined {
  return value === null ? null : StatedStatus.safeParse(value).data;
}

/** Returns `undefined` if the value is invalid. */
function decodeRankWaits(
  row: readonly unknown[],
  index: number,
): number[] | undefined {
  // Earlier versions report no waits by rank.
  const value = row.length > index ? row[index] : [];
  return isRankWaitList(value) ? value : undefined;
}

function isRankWaitList(value: unknown): value is number[] {
  return Array.isArray(value) && value.length <= MAX_RANK_WAITS &&
    value.every((waitMs) =>
      isNonNegativeNumber(waitMs) && waitMs <= MAX_WAIT_MS
    );
}

function isString(value: unknown): value is string {
  return typeof value === "string";
}

function isPhase(value: unknown): value is MemberPhase {
  return MEMBER_PHASES.has(value);
}

function isNonNegativeInteger(value: unknown): value is number {
  return isNonNegativeNumber(value) && Number.isSafeInteger(value);
}

function isNonNegativeNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
