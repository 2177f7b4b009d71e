/**
 * Server side of the protocol between daemons.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  ExchangeResponseSchema,
  fromWireDelta,
  Peer,
  RefuseResponseSchema,
  ReleaseResponseSchema,
  RenewResponse_Answer,
  toWireDelta,
} from "@bamboolink/protocol";
import type { ConnectRouter } from "@connectrpc/connect";
import { monotonicMs } from "./clock.ts";
import type { Fleet } from "./fleet.ts";
import type { Planner } from "./planner.ts";
import type { RecordGossiper } from "./record_gossiper.ts";
import type { SessionManager } from "./session_manager.ts";

const RESPONSES_BY_PROMISE = {
  promised: RenewResponse_Answer.PROMISED,
  refused: RenewResponse_Answer.REFUSED,
  not_permitted: RenewResponse_Answer.NOT_PERMITTED,
} as const;

/** Dependencies of the service. */
export interface PeerServiceContext {
  readonly fleet: Fleet;
  readonly sessionManager: SessionManager;
  readonly gossiper: RecordGossiper;
  readonly planner: Planner;
}

/** Creates the routes of the service. */
export function createPeerRoutes(
  context: PeerServiceContext,
): (router: ConnectRouter) => void {
  const { fleet, sessionManager, gossiper, planner } = context;
  const findLocalWitness = (id: string) => {
    const session = sessionManager.current;
    // A restarted daemon has a new session, which no longer knows which renewals the previous one refused.
    return session !== undefined && session.id === id &&
        session.state !== "sealed"
      ? session
      : undefined;
  };
  return (router) =>
    router.service(Peer, {
      renew: async function* (requests) {
        for await (const { session: holder, witness, number } of requests) {
          const session = findLocalWitness(witness);
          const at = {
            nowMs: monotonicMs(),
            validUntilMs: session?.validUntilMs ?? -Infinity,
          };
          const answer = session === undefined
            ? RenewResponse_Answer.NOT_THE_WITNESS
            : RESPONSES_BY_PROMISE[session.ledger.renew(holder, at)];
          yield { answer, number };
        }
      },
      refuse: (request) => {
        const session = findLocalWitness(request.witness);
        const refusals = session === undefined
          ? []
          : request.sessions.map((id) => ({
            session: id,
            remainingMs: session.ledger.refuse(id, monotonicMs()),
          }));
        return create(RefuseResponseSchema, {
          isWitness: session !== undefined,
          refusals,
        });
      },
      exchange: (request) => {
        if (request.delta !== undefined) {
          fleet.merge(fromWireDelta(request.delta));
        }
        const peerRevision = Number(request.revision);
        const address = fleet.session(request.session)?.control_address;
        if (address !== undefined) {
          gossiper.recordPeerRevision(address, peerRevision);
        }
        const delta = fleet.deltaSince(peerRevision);
        return create(ExchangeResponseSchema, {
          revision: BigInt(fleet.revision),
          ...(delta === undefined ? {} : { delta: toWireDelta(delta) }),
        });
      },
      suspect: (request) => {
        planner.recordSuspicions(request.witness, request.sessions);
        return {};
      },
      release: (request) => {
        const session = sessionManager.current;
        if (session === undefined || session.id !== request.session) {
          return create(ReleaseResponseSchema, {});
        }
        const released = request.assignments.filter((assignment) => {
          const id = { ...assignment, token: Number(assignment.token) };
          session.releases.startRelease(id);
          return session.releases.isReleased(id);
        });
        return create(ReleaseResponseSchema, { released });
      },
      report: (request) => ({ isPlanner: planner.recordReport(request) }),
      fleetStatus: () => planner.describeFleet(),
    });
}
