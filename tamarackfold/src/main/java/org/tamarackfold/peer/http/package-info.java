/** HTTP transport of the messages between hosts. */
package org.tamarackfold.peer.http;
