package org.carawaysill.policy.engine;

import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;

/**
 * The parts of one node's engine that its request handlers share.
 *
 * <p>The record itself is immutable; its parts are not thread safe and are owned by the policy.
 *
 * @param identity the identity of this node
 * @param out collects effects
 * @param table the work in progress
 * @param timers orders work by its next due time
 * @param directory the documents in force
 * @param control configuration, membership and routing
 * @param admission controls admission to the local copy
 * @param chainCuts the admission cuts of the deeper services
 * @param ownership handles work that must run at most once
 * @param clientRetries handles idempotent work that callers may repeat at other nodes
 * @param retryGate decides about retries
 * @param delivery delivers outcomes
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
