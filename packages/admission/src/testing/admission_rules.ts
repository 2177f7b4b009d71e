/**
 * The rules that the simulation of admission compares.
 *
 * @module
 */
import { createRetryAfterSampler } from "../retry_after_sampler.ts";
import { type AdmissionQuery, ServiceAdmission } from "../service_admission.ts";
import {
  AdmissionRule,
  type SimulatedArrival,
  type SimulatedReport,
} from "./admission_model.ts";

const SERVICE = "service";
/** Offered work relative to the capacity above which a rank is refused by {@link ThresholdRule}. */
const MAX_UTILIZATION_BY_RANK = [1.6, 1.3, 1.05];

/** The rule without the setting: it admits everything, and refused callers come back after a random delay. */
export class RandomDrawRule extends AdmissionRule {
  private readonly sample: ReturnType<typeof createRetryAfterSampler>;

  protected constructor(random: () => number) {
    super();
    this.sample = createRetryAfterSampler(random);
  }

  static create(random: () => number): RandomDrawRule {
    return new RandomDrawRule(random);
  }

  override refuse(
    _arrival: SimulatedArrival,
    _nowMs: number,
  ): number | undefined {
    return undefined;
  }

  override retryAfterMs(
    { objectiveRemainingMs, remainingMs }: SimulatedArrival,
    { waitMs }: { waitMs: number; nowMs: number },
  ): number {
    return this.sample({
      waitMs,
      objectiveRemainingMs,
      remainingMs,
      isTransient: false,
    });
  }

  override record(_report: SimulatedReport): void {}
}

/** Refuses a rank while the servers that may run the request are offered more work than a threshold of the rank. */
export class ThresholdRule extends RandomDrawRule {
  private readonly utilizations = new Map<number, number>();

  static override create(random: () => number): ThresholdRule {
    return new ThresholdRule(random);
  }

  override refuse(arrival: SimulatedArrival): number | undefined {
    const { kind: { rank }, owner } = arrival;
    const utilization = owner === undefined
      ? mean([...this.utilizations.values()])
      : this.utilizations.get(owner) ?? 0;
    const threshold = MAX_UTILIZATION_BY_RANK[rank] ??
      MAX_UTILIZATION_BY_RANK.at(-1)!;
    return utilization > threshold
      ? this.retryAfterMs(arrival, { waitMs: 0, nowMs: 0 })
      : undefined;
  }

  override record({ server, utilization }: SimulatedReport): void {
    this.utilizations.set(server, utilization);
  }
}

/** Refuses what no server is expected to finish in time; callers come back at reserved times. */
export class ExpectedWaitRule extends AdmissionRule {
  private readonly admission: ServiceAdmission;

  private constructor(random: () => number) {
    super();
    this.admission = ServiceAdmission.create(random);
  }

  static create(random: () => number): ExpectedWaitRule {
    return new ExpectedWaitRule(random);
  }

  override refuse(
    arrival: SimulatedArrival,
    nowMs: number,
  ): number | undefined {
    const verdict = this.admission.decide(toQuery(arrival), nowMs);
    return verdict.kind === "refuse" ? verdict.retryAfterMs : undefined;
  }

  override retryAfterMs(
    arrival: SimulatedArrival,
    refusal: { waitMs: number; nowMs: number },
  ): number {
    return this.admission.scheduleReturn(toQuery(arrival), refusal);
  }

  override record(report: SimulatedReport): void {
    const { server, capacity, utilization, waits, measuredAtMs } = report;
    const daemon = String(server);
    this.admission.recordContact(measuredAtMs);
    this.admission.recordStatus(daemon, {
      service: SERVICE,
      acceptsRequests: true,
      capacity,
      utilization,
    });
    this.admission.recordWaits(daemon, { waits, measuredAtMs });
  }
}

function toQuery(arrival: SimulatedArrival): AdmissionQuery {
  const { kind, owner, ...rest } = arrival;
  return {
    ...rest,
    service: SERVICE,
    rank: kind.rank,
    serviceMs: kind.workMs,
    owner: owner === undefined ? undefined : String(owner),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}
