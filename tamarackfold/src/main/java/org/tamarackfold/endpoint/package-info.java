/**
 * Endpoints (model engines and application engines): their registrations, their observed state, and
 * the selection of an endpoint for each call.
 */
package org.tamarackfold.endpoint;
