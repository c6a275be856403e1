/** The files of a storage host. */
package org.tamarackfold.peer.disk;
