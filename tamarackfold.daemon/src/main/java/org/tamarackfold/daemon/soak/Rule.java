package org.tamarackfold.daemon.soak;

/**
 * A promise that the soak checks: at-most-once calls run once (TWICE) and not at all after a
 * refusal (REFUSED); answers and requests arrive unaltered (MIXED, ALTERED); streams are whole and
 * of one run and software version (ORDER); accepted calls and turns are not lost (LOST); budgets
 * hold (BUDGET); draining endpoints get no new call (DRAIN); proper calls get no client error
 * (DENIED); calls run with valid keys only, and those are not rejected (KEY); calls and turns stay
 * with the customer of the key (CUSTOMER); a window holds no more calls than the limit (LIMIT); no
 * steady customer is starved by the load of others (STARVED); the service returns (RECOVER); no
 * process ends by itself (ENDED).
 */
public enum Rule {
    TWICE,
    REFUSED,
    MIXED,
    ALTERED,
    ORDER,
    LOST,
    BUDGET,
    DRAIN,
    DENIED,
    KEY,
    CUSTOMER,
    LIMIT,
    STARVED,
    RECOVER,
    ENDED
}
