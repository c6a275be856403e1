/** The demo session, and a scripted endpoint that speaks HTTP over sockets. */
package org.tamarackfold.standin.http;
