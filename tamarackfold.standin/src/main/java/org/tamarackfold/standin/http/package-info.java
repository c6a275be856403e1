/** Fakes that speak HTTP over sockets. */
package org.tamarackfold.standin.http;
