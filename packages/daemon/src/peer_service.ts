/**
 * The daemon's side of the messages between daemons.
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

const ANSWERS = {
  promised: RenewResponse_Answer.PROMISED,
  refused: RenewResponse_Answer.REFUSED,
  not_permitted: RenewResponse_Answer.NOT_PERMITTED,
} as const;

/** What the service needs. */
export interface PeerServiceContext {
  readonly fleet: Fleet;
  readonly sessionManager: SessionManager;
  readonly gossiper: RecordGossiper;
  readonly planner: Planner;
}

/** Makes the routes of the service. */
export function createPeerRoutes(
  context: PeerServiceContext,
): (router: ConnectRouter) => void {
  const { fleet, sessionManager, gossiper, planner } = context;
  const witnessNamed = (id: string) => {
    const session = sessionManager.current;
    // A restarted daemon is a new session: it has forgotten whom the old one refused.
    return session !== undefined && session.id === id &&
        session.state !== "sealed"
      ? session
      : undefined;
  };
  return (router) =>
    router.service(Peer, {
      renew: async function* (requests) {
        for await (const { session: holder, witness, number } of requests) {
          const session = witnessNamed(witness);
          const at = {
            nowMs: monotonicMs(),
            validUntilMs: session?.validUntilMs ?? -Infinity,
          };
          const answer = session === undefined
            ? RenewResponse_Answer.NOT_THE_WITNESS
            : ANSWERS[session.ledger.renew(holder, at)];
          yield { answer, number };
        }
      },
      refuse: (request) => {
        const session = witnessNamed(request.witness);
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
        const theirs = Number(request.revision);
        const address = fleet.session(request.session)?.control_address;
        if (address !== undefined) {
          gossiper.recordPeerRevision(address, theirs);
        }
        const delta = fleet.deltaSince(theirs);
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
          session.releases.giveUp(id);
          return session.releases.isReleased(id);
        });
        return create(ReleaseResponseSchema, { released });
      },
      report: (request) => ({ isPlanner: planner.recordReport(request) }),
      fleetStatus: () => planner.describeFleet(),
    });
}
