/**
 * Endpoints (model engines, application engines and tool services): their registrations, their
 * observed state, and the selection of an endpoint for each call.
 */
package org.tamarackfold.endpoint;
