/**
 * Decisions about model engines, application engines and tool services. Lock ranks: ENDPOINTS,
 * ADMISSION.
 */
package org.tamarackfold.endpoint;
