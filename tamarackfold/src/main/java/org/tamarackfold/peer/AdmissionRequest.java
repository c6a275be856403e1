package org.tamarackfold.peer;

import org.tamarackfold.id.ProgramId;
import org.tamarackfold.id.TenantId;

/**
 * Request for a slot of an endpoint.
 *
 * @param ticket identifies the request
 * @param program the program
 * @param tenant its tenant
 * @param serviceClass the class of the tenant
 * @param programUnderWay whether the program has already finished a call
 * @param attainedMillis service time that the program has received so far, in milliseconds
 * @param expectedMillis predicted service time of this call, in milliseconds
 * @param deadlineMillis how long the caller still waits, in milliseconds
 */
public record AdmissionRequest(
        Ticket ticket,
        ProgramId program,
        TenantId tenant,
        String serviceClass,
        boolean programUnderWay,
        long attainedMillis,
        long expectedMillis,
        long deadlineMillis) {}
