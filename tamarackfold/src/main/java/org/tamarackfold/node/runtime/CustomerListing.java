package org.tamarackfold.node.runtime;

import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import io.vavr.collection.Vector;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.tamarackfold.caller.limit.CustomerUsage;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Serves the customers of this host as JSON, those with most calls first. */
final class CustomerListing {
    static final String PATH = "/customers";

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private CustomerListing() {}

    static HttpHandler handler(Supplier<Vector<CustomerUsage>> usage) {
        return exchange -> {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(encode(usage.get())));
        };
    }

    private static byte[] encode(Vector<CustomerUsage> usage) {
        ObjectNode root = MAPPER.createObjectNode();
        ArrayNode customers = root.putArray("customers");
        for (CustomerUsage customer : usage) {
            customers
                    .addObject()
                    .put("name", customer.customer().value())
                    .put("calls_per_second", Math.round(10 * customer.callsPerSecond()) / 10.0)
                    .put("allowed", customer.allowed())
                    .put("refused", customer.refused())
                    .put("limit_per_second", customer.limit().callsPerSecond())
                    .put("limit_burst", customer.limit().burst());
        }
        return MAPPER.writeValueAsBytes(root);
    }
}
