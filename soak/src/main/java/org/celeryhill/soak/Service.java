package org.celeryhill.soak;

/**
 * Service of the site.
 */
enum Service {

	/** Whole responses. */
	PLAIN("plain", "", ""),

	/** Streams of events from engines that hold one model. */
	MODEL("model",
			",'engine':{'slots':8,'kv_cache_tokens':100000,'stride':1,'mb':1000,'adapter_slots':0,'loads_per_s':2,"
					+ "'models':[{'name':'m','mb':500,'load_time_s':1,'adapters':0,'adapter_mb':1}]}",
			",'models':[{'name':'m','version':1,'adapters':[]}]");

	private final String serviceName;

	private final String engine;

	private final String models;

	Service(String serviceName, String engine, String models) {
		this.serviceName = serviceName;
		this.engine = engine;
		this.models = models;
	}

	String serviceName() {
		return this.serviceName;
	}

	String definition() {
		return "{'name':'" + this.serviceName + "','health_path':'" + Wire.HEALTH_PATH + "','max_connections':96"
				+ this.engine + "}";
	}

	/**
	 * Returns what a server of the service says about itself.
	 * @param port the port that it listens on
	 * @param startMillis the time of its start in milliseconds
	 * @return the encoded entry, never null
	 */
	String entry(int port, long startMillis) {
		return ("{'service':'" + this.serviceName + "','address':'127.0.0.1:" + port
				+ "','zone':'z1','version':1,'slots':8,'state':'ready','cold_remaining_ms':0,'stage':'unified',"
				+ "'busy':false,'sequence':0,'born':" + startMillis + this.models + "}")
			.replace('\'', '"');
	}

}
