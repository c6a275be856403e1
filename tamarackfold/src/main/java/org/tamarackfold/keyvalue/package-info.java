/** The key-value service of the platform: its port, watches and leased registrations. */
package org.tamarackfold.keyvalue;
