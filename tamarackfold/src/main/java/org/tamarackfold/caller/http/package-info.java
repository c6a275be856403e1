/** HTTP front end for callers: decodes calls, runs them at endpoints and relays the responses. */
package org.tamarackfold.caller.http;
