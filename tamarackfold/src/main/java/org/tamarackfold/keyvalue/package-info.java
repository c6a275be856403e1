/** The key-value service of the platform: client interface, watches and leased registrations. */
package org.tamarackfold.keyvalue;
