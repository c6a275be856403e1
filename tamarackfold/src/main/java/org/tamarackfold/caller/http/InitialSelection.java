package org.tamarackfold.caller.http;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import org.tamarackfold.caller.CallDescription;
import org.tamarackfold.endpoint.SelectionRequest;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.WeightedService;

/** Creates the criteria by which the first endpoint of a call is selected. */
final class InitialSelection {
    private InitialSelection() {}

    /**
     * Returns the criteria.
     *
     * @param fraction selects one of the services of the route by weight, from 0 to below 1
     */
    static SelectionRequest of(CallDescription call, Route route, double fraction) {
        return new SelectionRequest(
                selectService(route, fraction), affinityKey(call), HashSet.empty());
    }

    /** All turns of a program prefer the same endpoint, because their prompts share a prefix. */
    private static Option<String> affinityKey(CallDescription call) {
        return call.turn()
                .map(programTurn -> programTurn.program().value())
                .orElse(call::affinityKey);
    }

    private static ServiceName selectService(Route route, double fraction) {
        double totalWeight = route.services().map(WeightedService::weight).sum().doubleValue();
        double remainingWeight = fraction * totalWeight;
        for (WeightedService candidate : route.services()) {
            remainingWeight -= candidate.weight();
            if (remainingWeight < 0) {
                return candidate.service();
            }
        }
        return route.services().last().service();
    }
}
