/**
 * The exchange of releases between entry hosts: which host to ask, what to send, which release to
 * adopt, how long ago the release was confirmed as the newest, and when calls are refused because
 * that was too long ago.
 */
package org.tamarackfold.peer.release;
