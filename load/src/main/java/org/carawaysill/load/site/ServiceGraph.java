package org.carawaysill.load.site;

import java.util.List;
import org.carawaysill.model.identity.ServiceName;

/**
 * The operations of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param service the service
 * @param operations its operations
 */
record ServiceGraph(ServiceName service, List<GraphOperation> operations) {

    ServiceGraph {
        operations = List.copyOf(operations);
    }

    ServiceGraph withServiceMilliseconds(double milliseconds) {
        return new ServiceGraph(
                service,
                operations.stream()
                        .map(operation -> operation.withServiceMilliseconds(milliseconds))
                        .toList());
    }
}
