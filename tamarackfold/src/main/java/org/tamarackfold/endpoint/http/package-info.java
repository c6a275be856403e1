/** HTTP connections to endpoints. */
package org.tamarackfold.endpoint.http;
