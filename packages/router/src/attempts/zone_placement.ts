/**
 * Places requests without a key on backend servers, in the zone of this daemon while servers there are in time.
 *
 * @module
 */
import type { MemberReport, MemberView } from "@bamboolink/membership";
import {
  chooseWithAffinity,
  type PlacementCandidate,
  ZoneShareTracker,
} from "@bamboolink/placement";
import { monotonicMs } from "../clock.ts";
import type { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { RoutedRequest } from "./routed_request.ts";

/** Dependencies of {@link ZonePlacement}. */
export interface ZonePlacementContext {
  readonly view: MemberView;
  readonly loadTracker: BackendLoadTracker;
  /** Milliseconds of waiting that saving one kilobyte between availability zones is worth. */
  readonly crossZoneMsPerKilobyte: () => number;
  readonly random: () => number;
}

/** Places requests, and follows which share of each service's work stays in the zone. */
export class ZonePlacement {
  private readonly trackers = new Map<string, ZoneShareTracker>();

  private constructor(private readonly context: ZonePlacementContext) {}

  /** Creates an instance that has placed no requests. */
  static create(context: ZonePlacementContext): ZonePlacement {
    return new ZonePlacement(context);
  }

  /**
   * Chooses a backend server for a request.
   *
   * @param eligible the servers that it may run on.
   * @param isUsable whether a server among them may be chosen, given its expected load.
   * @returns `undefined` where there is none.
   */
  choose(
    request: RoutedRequest,
    eligible: readonly MemberReport[],
    isUsable: (candidate: PlacementCandidate) => boolean,
  ): MemberReport | undefined {
    const { view, loadTracker, random } = this.context;
    const nowMs = monotonicMs();
    const { address, availabilityZone } = view.ownReport;
    const { service, route } = request;
    const bodyBytes = request.body?.length ?? 0;
    const origin = {
      daemon: address,
      availabilityZone,
      route,
      bodyBytes,
      nowMs,
    };
    const crossZoneMsPerKilobyte = this.context.crossZoneMsPerKilobyte();
    const leavingShare = crossZoneMsPerKilobyte === 0
      ? 0
      : this.trackerOf(service).leavingShare(
        route,
        () => loadTracker.serverLoads(view.readyReports(service, nowMs)),
        nowMs,
      );
    const chosen = chooseWithAffinity(eligible, {
      objectiveRemainingMs: request.objectiveAtMs - nowMs,
      remainingMs: request.deadlineAtMs - nowMs,
      bodyBytes,
      crossZoneMsPerKilobyte,
      leavingShare,
    }, {
      isOwnZone: (report) => report.availabilityZone === availabilityZone,
      describe: (report) => {
        const candidate = loadTracker.toCandidate(report, origin);
        return isUsable(candidate) ? candidate : undefined;
      },
      random,
    });
    return chosen === undefined ? undefined : view.find(chosen.daemon);
  }

  /** Records that a request is sent to the server that was chosen for it. */
  recordPlaced(request: RoutedRequest, target: MemberReport): void {
    const { view, loadTracker } = this.context;
    const { service, route, body } = request;
    this.trackerOf(service).recordPlaced({
      route,
      workMs: loadTracker.typicalMs(route),
      bytes: (body?.length ?? 0) + loadTracker.typicalResponseBytes(route),
      isOtherZone: target.availabilityZone !== view.ownReport.availabilityZone,
    }, monotonicMs());
  }

  private trackerOf(service: string): ZoneShareTracker {
    const known = this.trackers.get(service);
    if (known !== undefined) {
      return known;
    }
    const tracker = ZoneShareTracker.create(
      this.context.view.ownReport.availabilityZone,
    );
    this.trackers.set(service, tracker);
    return tracker;
  }
}
