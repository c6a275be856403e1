/** HTTP transport for the messages between hosts. */
package org.tamarackfold.peer.http;
