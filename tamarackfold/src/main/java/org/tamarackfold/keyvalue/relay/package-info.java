/**
 * Changes of the key-value service passed between entry hosts: which hosts watch the service, whom
 * the others ask for changes, and when those watch the service themselves.
 */
package org.tamarackfold.keyvalue.relay;
