/**
 * Fair shares of the endpoints of a service while it is short of capacity: which customers are over
 * their share, and what happens to their streams. Decisions only, without I/O.
 */
package org.tamarackfold.endpoint.share;
