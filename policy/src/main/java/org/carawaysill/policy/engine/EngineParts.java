package org.carawaysill.policy.engine;

import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;

/**
 * The parts of one node's engine that its request handlers share.
 *
 * <p>The record itself is immutable; its parts are not thread safe and are owned by the policy.
 *
 * @param identity who this node is
 * @param out where effects go
 * @param table the work in progress
 * @param timers what is due when
 * @param directory the documents in force
 * @param control configuration, membership and routing
 * @param admission guards the local copy
 * @param chainCuts what the deeper services admit
 * @param ownership work that must run at most once
 * @param clientRetries idempotent work that callers may repeat elsewhere
 * @param retryGate decides about retries
 * @param delivery tells outcomes
 * @param identifiers mints identifiers
 */
record EngineParts(
        NodeIdentity identity,
        Outbox out,
        WorkTable table,
        Timers timers,
        ServiceDirectory directory,
        ControlPlane control,
        CopyAdmission admission,
        ChainCuts chainCuts,
        Ownership ownership,
        ClientRetries clientRetries,
        RetryGate retryGate,
        OutcomeDelivery delivery,
        IdentifierSource identifiers) {}
