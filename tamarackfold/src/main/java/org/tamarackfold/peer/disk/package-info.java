/** Record log of a storage host in files on the local disk. */
package org.tamarackfold.peer.disk;
