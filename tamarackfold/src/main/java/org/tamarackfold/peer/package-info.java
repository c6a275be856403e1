/**
 * Messages and decisions between nodes: witnesses, succession, membership. Lock ranks: MEMBERS,
 * WITNESS.
 */
package org.tamarackfold.peer;
